/*
 * Tests of sealed datagrams: those under another key, for another receiver,
 * altered, truncated or replayed are refused.
 */
#include <sodium.h>

#include "../node/seal.h"
#include "test.h"

#define SELF "127.0.0.1:1"

static const unsigned char key[NODE_KEY_LEN] = { 1 };
static const unsigned char other_key[NODE_KEY_LEN] = { 2 };

static void
only_the_intended_receiver_opens(void)
{
	unsigned char out[SEAL_MAX], plain[SEAL_MAX];
	int len;

	CU_ASSERT(sodium_init() >= 0);
	len = seal(key, SELF, "hello", 5, out);
	CU_ASSERT_EQUAL(unseal(key, SELF, out, (size_t)len, plain), 5);
	CU_ASSERT_EQUAL(unseal(key, "127.0.0.1:2", out, (size_t)len, plain),
	    NODE_EMALFORMED);
	CU_ASSERT_EQUAL(
	    unseal(other_key, SELF, out, (size_t)len, plain), NODE_EMALFORMED);
}

static void
altered_or_truncated_is_refused(void)
{
	unsigned char out[SEAL_MAX], plain[SEAL_MAX];
	int len, i;

	len = seal(key, SELF, "hello", 5, out);
	for (i = 0; i < len; i++) {
		out[i] ^= 1;
		CU_ASSERT_EQUAL(unseal(key, SELF, out, (size_t)len, plain),
		    NODE_EMALFORMED);
		out[i] ^= 1;
		CU_ASSERT_EQUAL(
		    unseal(key, SELF, out, (size_t)i, plain), NODE_EMALFORMED);
	}
}

static void
replay_is_refused(void)
{
	struct replay r = { 0 };

	CU_ASSERT(replay_accept(&r, 5, 1));
	CU_ASSERT_FALSE(replay_accept(&r, 5, 1));
	CU_ASSERT(replay_accept(&r, 5, 3));
	CU_ASSERT(replay_accept(&r, 5, 2));
	CU_ASSERT_FALSE(replay_accept(&r, 5, 2));
	CU_ASSERT(replay_accept(&r, 5, 200));
	CU_ASSERT_FALSE(replay_accept(&r, 5, 100));
	CU_ASSERT(replay_accept(&r, 6, 1));
	CU_ASSERT_FALSE(replay_accept(&r, 5, 300));
}

/*
 * During a key rotation a datagram under either key opens, and the index of
 * its key is returned.
 */
static void
either_key_opens(void)
{
	unsigned char out[SEAL_MAX], plain[SEAL_MAX];
	struct fleet_keys keys = { .key = { { 1 }, { 2 } }, .count = 2 };
	int len, used;

	len = seal(other_key, SELF, "hello", 5, out);
	CU_ASSERT_EQUAL(
	    unseal_any(&keys, SELF, out, (size_t)len, plain, &used), 5);
	CU_ASSERT_EQUAL(used, 1);
	keys.count = 1;
	CU_ASSERT_EQUAL(unseal_any(&keys, SELF, out, (size_t)len, plain, &used),
	    NODE_EMALFORMED);
}

static const struct test tests[] = {
	{ "either key opens", either_key_opens },
	{ "only the intended receiver opens",
	    only_the_intended_receiver_opens },
	{ "altered or truncated is refused", altered_or_truncated_is_refused },
	{ "replay is refused", replay_is_refused },
};

TEST_MAIN("seal", tests)
