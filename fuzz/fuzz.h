/* What the fuzz targets share. */
#ifndef FUZZ_H
#define FUZZ_H

#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

/* Called by libFuzzer for each input; always returns 0. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

/* Ends the process where a promise is broken, so that the fuzzer sees it. */
#define FUZZ_REQUIRE(x)          \
	do {                     \
		if (!(x))        \
			abort(); \
	} while (0)

#endif
