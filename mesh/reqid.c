/*
 * Request ids: UUIDs of version 7 (RFC 9562), which begin with their creation
 * time.  The last two bytes of an id made here are the tag of the target that
 * is its first home.  In ids made by others they are random; one that happens
 * to equal a tag only makes that target the first home.
 */
#include <stdio.h>
#include <string.h>

#include "mesh.h"

#define TIME_DIGITS_END 13 /* characters before are the creation time in ms */
#define TAG_START	32 /* characters from here on are the tag */

static int is_uuid_v7(const char *);
static int is_dash(size_t);

/* Whether a UUID has a dash at a position. */
static int
is_dash(size_t i)
{
	return i == 8 || i == 13 || i == 18 || i == 23;
}

/* Whether a text has the form of a UUID of version 7. */
static int
is_uuid_v7(const char *id)
{
	size_t i;

	if (strlen(id) != REQID_LEN || id[14] != '7')
		return 0;
	for (i = 0; i < REQID_LEN; i++)
		if (is_dash(i) ? id[i] != '-' : !g_ascii_isxdigit(id[i]))
			return 0;
	return 1;
}

/*
 * The random bytes fill the 58 bits that time, tag, version and variant leave.
 */
void
reqid_make(char *buf, int64_t wall_ms, uint16_t tag, const unsigned char *r)
{
	snprintf(buf, REQID_LEN + 1,
	    "%08x-%04x-7%01x%02x-%02x%02x-%02x%02x%02x%02x%04x",
	    (unsigned int)(wall_ms >> 16), (unsigned int)(wall_ms & 0xffff),
	    r[0] & 0xfU, r[1], (r[2] & 0x3fU) | 0x80U, r[3], r[4], r[5], r[6],
	    r[7], (unsigned int)tag);
}

/* The time is not checked; a caller may have set any. */
int64_t
reqid_born(const char *id)
{
	int64_t ms = 0;
	size_t i;

	if (!is_uuid_v7(id))
		return 0;
	for (i = 0; i < TIME_DIGITS_END; i++)
		if (!is_dash(i))
			ms = ms * 16 + g_ascii_xdigit_value(id[i]);
	return ms;
}

/* Also returns the random digits of an id made by another program. */
int
reqid_tag(const char *id)
{
	int tag = 0;
	size_t i;

	if (!is_uuid_v7(id))
		return -1;
	for (i = TAG_START; i < REQID_LEN; i++)
		tag = tag * 16 + g_ascii_xdigit_value(id[i]);
	return tag;
}
