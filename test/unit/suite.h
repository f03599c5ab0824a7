/**
 * Runs the test cases of one program with CUnit. Prints a line for each case,
 * "ok - name" or "not ok - name", preceded by its failed assertions.
 */
#ifndef SUITE_H
#define SUITE_H

#include <CUnit/CUnit.h>

struct suite_case {
	const char *name;
	void (*run)(void);
};

/**
 * Runs test cases in order.
 *
 * @param name the suite's name
 * @param cases test cases, terminated by one with a NULL name
 * @return the exit status for main(): 0 when every case passed, else 1
 */
int suite_run(const char *name, const struct suite_case *cases);

#endif
