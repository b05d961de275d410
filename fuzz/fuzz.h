/* Declarations shared by the fuzz targets. */
#ifndef FUZZ_H
#define FUZZ_H

#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

/* Called by libFuzzer for each input; always returns 0. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

/* Aborts if a property does not hold, which the fuzzer reports as a crash. */
#define FUZZ_REQUIRE(x)          \
	do {                     \
		if (!(x))        \
			abort(); \
	} while (0)

#endif
