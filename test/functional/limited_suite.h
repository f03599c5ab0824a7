/**
 * CUnit assertions on a crowd's result.
 */
#ifndef LIMITED_SUITE_H
#define LIMITED_SUITE_H

#include "cluster_limited.h"
#include "suite.h"

/** Checks that a daemon lived, stayed within its bounds and served others. */
static inline void limited_check_result(const struct limited_result *result)
{
	CU_ASSERT_TRUE(result->lives);
	CU_ASSERT_TRUE(result->most_open > 0 &&
		       result->most_open <= LIMITED_OPEN);
	CU_ASSERT_TRUE(result->resident_bounded);
	CU_ASSERT_TRUE(result->footprint_bounded);
	CU_ASSERT_TRUE(result->serves_beside);
	CU_ASSERT_TRUE(result->serves_largest_beside);
	CU_ASSERT_TRUE(result->serves_largest_after);
}

#endif
