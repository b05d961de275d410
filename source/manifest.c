/* Parses and prints the head of a published set. */
#include <inttypes.h>
#include <string.h>

#include "source.h"

static int read_hash(const struct json *, const char *, unsigned char *);

/* Reads a member that is a hash in hexadecimal. */
static int
read_hash(const struct json *j, const char *key, unsigned char *hash)
{
	const char *hex;

	if ((hex = json_str(j, key, NULL)) == NULL)
		return SOURCE_EMALFORMED;
	return hash_from_hex(hex, hash) == MESH_OK ? SOURCE_OK
						   : SOURCE_EMALFORMED;
}

/* Parses a head; one missing or malformed field makes it malformed. */
int
manifest_parse(const char *text, size_t len, struct manifest *m)
{
	struct report *rep;
	struct json *j;
	int64_t number, parts, bytes;
	int err = SOURCE_EMALFORMED;

	memset(m, 0, sizeof(*m));
	rep = report_new();
	j = json_parse(text, len, rep);
	number = json_int(j, "version", 0);
	parts = json_int(j, "parts", 0);
	bytes = json_int(j, "bytes", 0);
	if (number > 0 && parts > 0 && parts <= SOURCE_PARTS_MAX && bytes > 0 &&
	    bytes <= BASE_SET_MAX)
		err = read_hash(j, "hash", m->version.hash);
	if (err == SOURCE_OK && json_get(j, "parent") != NULL) {
		err = read_hash(j, "parent", m->parent);
		m->has_parent = 1;
	}
	m->version.number = (uint64_t)number;
	m->parts = (int)parts;
	m->bytes = (int)bytes;
	json_free(j);
	report_free(rep);
	return err;
}

/* Appends a head as JSON. */
void
manifest_print(const struct manifest *m, GString *out)
{
	char hex[HASH_HEX_LEN];

	hash_to_hex(m->version.hash, hex);
	g_string_append_printf(out,
	    "{\"version\": %" PRIu64 ", \"hash\": \"%s\"", m->version.number,
	    hex);
	if (m->has_parent) {
		hash_to_hex(m->parent, hex);
		g_string_append_printf(out, ", \"parent\": \"%s\"", hex);
	}
	g_string_append_printf(
	    out, ", \"parts\": %d, \"bytes\": %d}\n", m->parts, m->bytes);
}

/* The key has the hash of the set, so parts of two sets are never mixed. */
char *
manifest_part_key(const struct manifest *m, int part)
{
	char hex[HASH_HEX_LEN];

	hash_to_hex(m->version.hash, hex);
	return g_strdup_printf("%s/%s/%d", SOURCE_KEY_PARTS, hex, part);
}
