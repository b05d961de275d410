/* Fuzzes the parser of set heads, as they are read from the source. */
#include <string.h>

#include "../source/source.h"
#include "fuzz.h"

/* An accepted head, printed and parsed again, gives the same head. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	struct manifest m, again;
	GString *out;

	if (manifest_parse((const char *)data, len, &m) != SOURCE_OK)
		return 0;
	FUZZ_REQUIRE(m.parts > 0 && m.bytes > 0);
	out = g_string_new(NULL);
	manifest_print(&m, out);
	FUZZ_REQUIRE(manifest_parse(out->str, out->len, &again) == SOURCE_OK);
	FUZZ_REQUIRE(version_cmp(&m.version, &again.version) == 0);
	FUZZ_REQUIRE(m.parts == again.parts && m.bytes == again.bytes);
	g_string_free(out, TRUE);
	return 0;
}
