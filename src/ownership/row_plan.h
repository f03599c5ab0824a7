/**
 * A plan of a cell's next row, built up step by step from the current one:
 * owners, slices, and the load of each.
 */
#ifndef OWNERSHIP_ROW_PLAN_H
#define OWNERSHIP_ROW_PLAN_H

#include "ownership/slice_map.h"

/** An upstream that the planned row lists. */
struct plan_owner {
	/** Id of the VM; owned by the plan. */
	char *id;
	/** Whether the owner may get slices. */
	bool usable;
	/** Sum of the weights of the owner's slices. */
	double load;
};

/** A slice of the planned row. */
struct plan_slice {
	struct slice slice;
	/** The slice's load, as in the weights of row_plan_create(). */
	double weight;
};

/** The planned row; row_plan_finish() makes a map of it. */
struct row_plan {
	/** The current row; borrowed. */
	const struct slice_map *map;
	/** The owners of the planned row, as struct plan_owner. */
	GArray *owners;
	/** The slices of the planned row in key order, as struct plan_slice. */
	GArray *slices;
	/** Number of moves of slices to another owner in this plan. */
	size_t moved;
	/** Whether the plan differs from the current row. */
	bool changed;
};

/**
 * Creates a plan that equals the current row.
 *
 * @param map must outlive the plan
 * @param weights load of the map's slices, in their order
 */
struct row_plan *row_plan_create(const struct slice_map *map,
				 const double *weights);

/** Frees a plan; NULL is allowed. */
void row_plan_destroy(struct row_plan *p);

/** An owner or slice of the plan, by its index; valid until the plan changes.
 */
struct plan_owner *row_plan_owner(const struct row_plan *p, size_t owner);
struct plan_slice *row_plan_slice(const struct row_plan *p, size_t slice);

/** Adds an upstream without slices. */
void row_plan_add_owner(struct row_plan *p, struct str id, bool usable);

/** Removes an upstream that has no slices; the indexes of later owners become
 * one lower. */
void row_plan_remove_owner(struct row_plan *p, size_t owner);

/** Gives a slice to another owner, as of the planned row's epoch. */
void row_plan_move(struct row_plan *p, size_t slice, size_t owner);

/**
 * Splits a slice in two; both keep its owner and epoch.
 *
 * @param at first hash of the second part, inside the slice but not its first
 * @param weight weight of the second part
 */
void row_plan_split(struct row_plan *p, size_t slice, uint64_t at,
		    double weight);

/** Merges a slice with the next one, which must have the same owner. */
void row_plan_merge(struct row_plan *p, size_t slice);

/** Mean load of the usable owners. */
double row_plan_mean(const struct row_plan *p);

/**
 * The usable owner with the least load.
 *
 * @return the owner's index, or SLICE_NO_OWNER if no owner is usable
 */
uint32_t row_plan_least_loaded(const struct row_plan *p);

/** The index of the usable owner with the most load, or SLICE_NO_OWNER. */
uint32_t row_plan_most_loaded(const struct row_plan *p);

/** Builds the planned row at the next epoch; the caller frees it with
 * slice_map_destroy(). */
struct slice_map *row_plan_finish(const struct row_plan *p);

#endif
