#include "net/caller_budget.h"

/* A holder of at most this many bytes holds little: ordinary requests and their
 * answers stay below it. It may use the reserve, and is evicted last. */
#define LITTLE_BYTES ((size_t)64 << 10)
/* Evicting a holder of fewer bytes, which are mostly the connection's own, is
 * of no use. */
#define EVICT_MIN_BYTES ((size_t)4 << 10)
/* A holder that moved fewer than PROGRESS_BYTES in the last STALL_S seconds
 * makes no progress. Half of a slow VM's link of 10 Mbit/s, shared by ten
 * callers, moves twice as much. */
#define STALL_S 0.5
#define PROGRESS_BYTES ((size_t)16 << 10)

void caller_budget_join(struct caller_budget *budget,
			struct caller_holder *holder, double now)
{
	holder->state = CALLER_IDLE;
	holder->held = 0;
	holder->moved = 0;
	holder->progress_s = now;
	holder->link.data = holder;
	g_queue_push_tail_link(&budget->holders, &holder->link);
}

void caller_budget_leave(struct caller_budget *budget,
			 struct caller_holder *holder)
{
	g_queue_unlink(&budget->holders, &holder->link);
}

/* Whether the sum stays below the limit for a holder that has held bytes. */
static bool fits(const struct caller_budget *budget, size_t held, size_t len)
{
	size_t limit = budget->limit;

	if (held + len > LITTLE_BYTES)
		limit -= budget->reserve;
	return len <= limit && budget->used <= limit - len;
}

/* Returns whether a holder gives way before another in the same class. */
static bool holds_more(const struct caller_holder *holder,
		       const struct caller_holder *best)
{
	return !best || holder->held > best->held;
}

/* Returns the holder to evict next, that of most bytes in the first class that
 * has one: those of much without progress; requests of much that are being
 * received; those of little without progress. NULL: none can go.
 *
 * @param precedence the second and the third class can go */
static struct caller_holder *choose_victim(const struct caller_budget *budget,
					   const struct caller_holder *self,
					   bool precedence, double now)
{
	struct caller_holder *stalled = NULL, *receiving = NULL, *little = NULL;
	GList *link;

	for (link = budget->holders.head; link; link = link->next) {
		struct caller_holder *h = link->data;
		bool moves = now - h->progress_s < STALL_S;

		if (h == self || h->held < EVICT_MIN_BYTES ||
		    (h->state != CALLER_RECEIVING &&
		     h->state != CALLER_SENDING))
			continue;
		if (h->held <= LITTLE_BYTES) {
			if (!moves && holds_more(h, little))
				little = h;
		} else if (!moves) {
			if (holds_more(h, stalled))
				stalled = h;
		} else if (h->state == CALLER_RECEIVING &&
			   holds_more(h, receiving)) {
			receiving = h;
		}
	}
	if (stalled || !precedence)
		return stalled;
	return receiving ? receiving : little;
}

/* Evicts holders until the bytes fit; returns whether they do. */
static bool make_room(struct caller_budget *budget,
		      struct caller_holder *holder, size_t len, bool answer,
		      double now)
{
	bool little = holder->held + len <= LITTLE_BYTES;

	while (!fits(budget, holder->held, len)) {
		struct caller_holder *victim =
			choose_victim(budget, holder, answer || little, now);
		enum caller_refusal refusal;
		size_t used = budget->used;

		if (!victim)
			return false;
		refusal = victim->state == CALLER_RECEIVING
				  ? CALLER_REFUSED_MEMORY
				  : CALLER_CLOSED_MEMORY;
		caller_budget_refuse(budget, refusal, victim->held);
		budget->ops->evict(victim);
		if (budget->used >= used)
			return false;
	}
	return true;
}

/* Reports that the sum crossed one of the bounds for pressed(). */
static void check_pressure(struct caller_budget *budget)
{
	size_t bound = budget->limit / (budget->is_pressed ? 8 : 4);

	if ((budget->used > bound) == budget->is_pressed)
		return;
	budget->is_pressed = !budget->is_pressed;
	if (budget->pressed)
		budget->pressed(budget->ctx, budget->is_pressed);
}

void caller_budget_add(struct caller_budget *budget,
		       struct caller_holder *holder, size_t len)
{
	holder->held += len;
	budget->used += len;
	budget->peak = MAX(budget->peak, budget->used);
	budget->high = MAX(budget->high, budget->used);
	check_pressure(budget);
}

bool caller_budget_has_room(struct caller_budget *budget,
			    struct caller_holder *holder, size_t len,
			    double now)
{
	return make_room(budget, holder, len, false, now);
}

bool caller_budget_take(struct caller_budget *budget,
			struct caller_holder *holder, size_t len, bool answer,
			double now)
{
	if (!make_room(budget, holder, len, answer, now))
		return false;
	caller_budget_add(budget, holder, len);
	return true;
}

/* Returns the place of a state in the order in which connections are closed. */
static int closing_rank(enum caller_state state)
{
	switch (state) {
	case CALLER_IDLE:
		return 0;
	case CALLER_RECEIVING:
		return 1;
	case CALLER_SENDING:
		return 2;
	case CALLER_RUNNING:
		break;
	}
	return 3;
}

struct caller_holder *
caller_budget_choose_connection(const struct caller_budget *budget, double now)
{
	struct caller_holder *best = NULL;
	GList *link;

	for (link = budget->holders.head; link; link = link->next) {
		struct caller_holder *h = link->data;
		int rank = closing_rank(h->state);
		int best_rank = best ? closing_rank(best->state) : 3;

		if (now - h->progress_s < STALL_S || rank > best_rank ||
		    rank == closing_rank(CALLER_RUNNING))
			continue;
		if (rank == best_rank && h->progress_s >= best->progress_s)
			continue;
		if (budget->ops->may_close(h))
			best = h;
	}
	return best;
}

/* Whether the sum has fallen by an eighth of the limit from above half of it.
 */
static bool has_fallen(const struct caller_budget *budget)
{
	return budget->high > budget->limit / 2 &&
	       budget->high - budget->used >= budget->limit / 8;
}

void caller_budget_return(struct caller_budget *budget,
			  struct caller_holder *holder, size_t len)
{
	if (holder)
		holder->held -= len;
	budget->used -= len;
	check_pressure(budget);
	if (budget->used >= budget->limit / 2)
		budget->turnover += len;
	if (!has_fallen(budget) && budget->turnover < budget->limit / 8)
		return;
	budget->high = budget->used;
	budget->turnover = 0;
	if (budget->fell)
		budget->fell(budget->ctx);
}

void caller_budget_detach(struct caller_holder *holder, size_t len)
{
	holder->held -= len;
}

void caller_budget_progress(struct caller_holder *holder, size_t len,
			    double now)
{
	holder->moved += len;
	if (holder->moved < PROGRESS_BYTES)
		return;
	holder->moved = 0;
	holder->progress_s = now;
}

void caller_budget_set_state(struct caller_holder *holder,
			     enum caller_state state, double now)
{
	if (holder->state == state)
		return;
	holder->state = state;
	holder->moved = 0;
	holder->progress_s = now;
}

void caller_budget_refuse(struct caller_budget *budget,
			  enum caller_refusal refusal, size_t held)
{
	budget->refusals[refusal]++;
	if (budget->refused)
		budget->refused(budget->ctx, refusal, held);
}
