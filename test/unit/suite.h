/**
 * Runs the cases of one test file with CUnit and prints a line for each:
 * "ok - name" or "not ok - name".
 */
#ifndef SUITE_H
#define SUITE_H

#include <CUnit/CUnit.h>

struct suite_case {
	const char *name;
	void (*run)(void);
};

/**
 * Runs the cases in order.
 *
 * @param name the suite's name
 * @param cases cases, ended by one with a NULL name
 * @return the process exit status: 0 when every case passed, else 1
 */
int suite_run(const char *name, const struct suite_case *cases);

#endif
