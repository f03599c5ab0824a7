#include "balance/upstream_limit.h"

bool upstream_limit_apply_answer(struct upstream_limit *limit, double per_s,
				 double sent_s, double now_s)
{
	bool changed;

	if (per_s >= 0) {
		changed = !limit->limited || limit->per_s != per_s;
		limit->limited = true;
		limit->per_s = per_s;
		limit->named_s = now_s;
		return changed;
	}
	/* An answer that was overtaken by one that names the limit says nothing
	 * about its end. */
	if (!limit->limited || sent_s <= limit->named_s)
		return false;
	limit->limited = false;
	return true;
}
