/* Messages of the error numbers that programs print. */
#include "base.h"

static const struct {
	int err;
	const char *text;
} texts[] = {
	{ -101, "the file cannot be read" },
	{ -102, "larger than the limit" },
	{ -103, "not the expected JSON" },
	{ -104, "a value has the wrong type or range" },
	{ -105, "not an IPv4 address and a port" },
	{ -401, "cannot listen on the address" },
	{ -501, "the settings were rejected" },
	{ -502, "cannot listen on an address" },
	{ -503, "the key file cannot be used: it must hold 64 hexadecimal "
		"digits" },
};

/* Returns a static string; "unknown error" for a number without a message. */
const char *
base_strerror(int err)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(texts); i++)
		if (texts[i].err == err)
			return texts[i].text;
	return "unknown error";
}
