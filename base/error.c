/* Texts of error numbers, by the range of their package. */
#include "base.h"

static const struct {
	int err;
	const char *text;
} texts[] = {
	{ -101, "the file cannot be read" },
	{ -102, "it is larger than allowed" },
	{ -103, "it is not the JSON that was expected" },
	{ -104, "a value has the wrong type or range" },
	{ -105, "not an IPv4 address and a port" },
	{ -401, "the address cannot be listened on" },
	{ -501, "the settings were refused" },
	{ -502, "an address cannot be listened on" },
	{ -503, "the key file cannot be used: it must hold 64 hexadecimal "
		"digits" },
};

/* Text of an error. */
const char *
base_strerror(int err)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(texts); i++)
		if (texts[i].err == err)
			return texts[i].text;
	return "unknown error";
}
