#include "suite.h"

#include <stdio.h>

/* Prints the failed assertions of a case; first is the head of their list. */
static void print_failures(const CU_pFailureRecord first)
{
	CU_pFailureRecord rec;

	for (rec = first; rec; rec = rec->pNext)
		printf("# %s:%u: %s\n", rec->strFileName, rec->uiLineNumber,
		       rec->strCondition);
}

/* CUnit calls this after each case; failure is NULL when the case passed. */
static void on_case_complete(const CU_pTest test, const CU_pSuite suite,
			     const CU_pFailureRecord failure)
{
	(void)suite;
	print_failures(failure);
	printf("%s - %s\n", failure ? "not ok" : "ok", test->pName);
	fflush(stdout);
}

int suite_run(const char *name, const struct suite_case *cases)
{
	const struct suite_case *c;
	CU_pSuite suite;
	unsigned int failures;

	if (CU_initialize_registry() != CUE_SUCCESS)
		return 1;
	suite = CU_add_suite(name, NULL, NULL);
	if (!suite)
		return 1;
	for (c = cases; c->name; c++)
		if (!CU_add_test(suite, c->name, c->run))
			return 1;
	CU_set_test_complete_handler(on_case_complete);
	CU_run_all_tests();
	failures = CU_get_number_of_tests_failed();
	CU_cleanup_registry();
	return failures ? 1 : 0;
}
