#include "customers/lost_vms.h"

#include <glib.h>

/* Time, in seconds, after which a lost VM is taken to be gone. A VM that is cut
 * off for longer may spend its share besides the whole rate of the others. */
#define GONE_AFTER_S 600.0

struct lost_vms {
	/** When each VM was lost (double) by name. */
	GHashTable *since_s;
	/** VMs that the previous leader had lost, and when this VM took over
	 * the number. */
	unsigned int inherited;
	double inherited_s;
};

struct lost_vms *lost_vms_create(void)
{
	struct lost_vms *lost = g_new0(struct lost_vms, 1);

	lost->since_s =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return lost;
}

void lost_vms_destroy(struct lost_vms *lost)
{
	if (!lost)
		return;
	g_hash_table_destroy(lost->since_s);
	g_free(lost);
}

void lost_vms_begin(struct lost_vms *lost, unsigned int count, double now_s)
{
	g_hash_table_remove_all(lost->since_s);
	lost->inherited = count;
	lost->inherited_s = now_s;
}

void lost_vms_add(struct lost_vms *lost, const char *name, double now_s)
{
	double *since_s = g_new(double, 1);

	*since_s = now_s;
	g_hash_table_insert(lost->since_s, g_strdup(name), since_s);
}

void lost_vms_remove(struct lost_vms *lost, const char *name)
{
	g_hash_table_remove(lost->since_s, name);
}

/* GHRFunc: returns whether a VM was lost before a time. */
static gboolean is_gone(gpointer key, gpointer value, gpointer before_s)
{
	(void)key;
	return *(double *)value < *(double *)before_s;
}

unsigned int lost_vms_count(struct lost_vms *lost, double now_s)
{
	double before_s = now_s - GONE_AFTER_S;

	g_hash_table_foreach_remove(lost->since_s, is_gone, &before_s);
	if (lost->inherited_s < before_s)
		lost->inherited = 0;
	return g_hash_table_size(lost->since_s) + lost->inherited;
}
