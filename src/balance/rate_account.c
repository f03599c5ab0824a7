#include "balance/rate_account.h"

#include <math.h>

/* Shortest time between two updates of the smoothed rate, in seconds. */
#define WANTED_STEP_S 0.1

void rate_account_update(struct rate_account *account,
			 const struct rate_terms *terms, double now_s)
{
	double span = now_s - account->wanted_s;

	if (!account->level_s) {
		account->level_s = now_s;
		account->wanted_s = now_s;
		return;
	}
	account->level += terms->per_s * (now_s - account->level_s);
	account->level =
		fmin(fmax(account->level, terms->level_min), terms->level_max);
	account->level_s = now_s;
	if (span < WANTED_STEP_S)
		return;
	account->wanted_per_s +=
		(1 - exp(-span / terms->smooth_s)) *
		(account->wanted / span - account->wanted_per_s);
	account->wanted = 0;
	account->wanted_s = now_s;
}

void rate_account_charge(struct rate_account *account,
			 const struct rate_terms *terms, unsigned int sent,
			 unsigned int wanted, double now_s)
{
	rate_account_update(account, terms, now_s);
	account->level -= sent;
	account->wanted += wanted;
}

bool rate_account_draw(double available, double wanted, double random)
{
	return available > 0 && random * wanted < available;
}
