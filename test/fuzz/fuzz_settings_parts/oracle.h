/**
 * Invariants of settings and membership, checked after every step of a run.
 * The first violation is printed and kept.
 */
#ifndef FUZZ_SETTINGS_ORACLE_H
#define FUZZ_SETTINGS_ORACLE_H

#include "fleet.h"

/** Time from the answer to an operator until the accepted version must be in
 * force on every daemon that takes new work. */
#define ORACLE_IN_FORCE_US INT64_C(3000000)
/** Time without faults after which the newest version must be in force on all
 * daemons. */
#define ORACLE_SETTLED_US INT64_C(10000000)

/** The checker of one run. */
struct oracle;

/** Callbacks for the fleet; their context is an oracle. */
extern const struct fleet_ops oracle_ops;

/** Creates a checker without a fleet; see oracle_watch(). */
struct oracle *oracle_create(void);
void oracle_destroy(struct oracle *oracle);

/** Sets the fleet to check. */
void oracle_watch(struct oracle *oracle, const struct fleet *fleet);

/**
 * Records that a fault of a link or daemon begins now. A version published
 * shortly before or after it may not reach daemons that can't read the table.
 */
void oracle_record_fault(struct oracle *oracle);

/** Checks all daemons; call it after each step. */
void oracle_check(struct oracle *oracle);

/** Checks that all daemons have the table's version; call it when
 * ORACLE_SETTLED_US have passed without faults. */
void oracle_check_settled(struct oracle *oracle);

/** Returns the number of changes reported as accepted. */
unsigned int oracle_accepted(const struct oracle *oracle);

/** Returns how often a check found that a daemon that can't read the table
 * lacks a version because of a fault, which is allowed. */
unsigned int oracle_tolerated(const struct oracle *oracle);

/**
 * Records a violation and prints it. Does nothing after the first violation.
 *
 * @param rule name of the rule; not copied
 * @param detail what violated the rule; may be ""
 */
void oracle_violate(struct oracle *oracle, const char *rule,
		    const char *detail);

/** Returns the first rule that was violated, or NULL. */
const char *oracle_rule(const struct oracle *oracle);

#endif
