/* The main function of a CUnit program with one suite of tests. */
#ifndef TEST_H
#define TEST_H

#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include <CUnit/Basic.h>

#include "../base/base.h"

struct test {
	const char *name;
	void (*run)(void);
};

/*
 * Runs a suite and returns the program's exit code: 0 if all tests pass, 1 if
 * one fails, 2 if CUnit fails.  If the environment variable TEST is set, only
 * tests whose names contain it are run.
 */
static inline int
test_main(const char *suite, const struct test *tests, size_t n)
{
	CU_pSuite s;
	const char *only = getenv("TEST");
	unsigned int failed;
	size_t i;

	if (CU_initialize_registry() != CUE_SUCCESS ||
	    (s = CU_add_suite(suite, NULL, NULL)) == NULL)
		return 2;
	for (i = 0; i < n; i++)
		if ((only == NULL || strstr(tests[i].name, only) != NULL) &&
		    CU_add_test(s, tests[i].name, tests[i].run) == NULL)
			return 2;
	/* As in the programs; a peer may be gone before its answer is sent. */
	signal(SIGPIPE, SIG_IGN);
	base_log_init(suite);
	base_log_level("error");
	CU_basic_set_mode(CU_BRM_NORMAL);
	CU_basic_run_tests();
	failed = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failed > 0;
}

#define TEST_MAIN(suite, tests)                                      \
	int main(void)                                               \
	{                                                            \
		return test_main(suite, tests, G_N_ELEMENTS(tests)); \
	}

#endif
