/**
 * Runs the test cases of one program with CUnit. Prints a line for each case,
 * "ok - name" or "not ok - name", after a line "# file:line: condition" for
 * each failed assertion of the case. tools/run-tests.sh reads these lines.
 */
#ifndef SUITE_H
#define SUITE_H

#include <CUnit/CUnit.h>

/** A test case. */
struct suite_case {
	/** Title that is printed; NULL ends a table of cases. */
	const char *name;
	/** Makes the case's CUnit assertions. */
	void (*run)(void);
};

/**
 * Runs test cases in order.
 *
 * @param name name of the CUnit suite; not printed
 * @param cases test cases, terminated by one with a NULL name
 * @return the exit status for main(): 0 when every case passed; 1 when one
 *         failed or CUnit could not be set up
 */
int suite_run(const char *name, const struct suite_case *cases);

#endif
