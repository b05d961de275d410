/*
 * The platform's store turns one machine away for a moment (platform_down,
 * nodes), as the server beside it leaves without a report that it drains: its
 * entry is removed, and it serves on for many seconds.  Once the machine is in
 * touch again, it may not send the server requests.
 */
#include <string.h>

#include "../stand/mesh.h"

#define DRAIN_MS   2000
#define CONTACT_MS 3000
#define CALM_MS	   6000 /* all machines are in touch by then */
#define REFUSE_MS  1500
#define SERVES_MS  10000 /* after the removal */
#define PERIOD_MS  50	 /* between two requests of the client */

int
main(int argc, char **argv)
{
	static const char *const zones[] = { "a", "a", "a", "b", "b" };
	static const char *const services[] = { "desk", "desk", "desk", "desk",
		"desk" };
	int64_t removed_at, refused_until, since;
	const struct mesh_request *r;
	struct mesh_client *c;
	int leaver = -1, i, reads[3] = { 0 }, late = 0;
	struct mesh m;

	mesh_init(&m, argc, argv, G_N_ELEMENTS(zones), zones, services);
	mesh_put_config(&m, 1);
	mesh_start_all(&m);
	mesh_run(&m, CALM_MS);
	for (i = 0; i < 60; i++) {
		reads[i % 3] |= mesh_reads_store(&m.nodes[i % 3]);
		mesh_run(&m, 20);
	}
	for (i = 0; i < 3; i++)
		if (!reads[i])
			leaver = i;
	if (leaver < 0)
		return mesh_end(&m, MESH_CANNOT_RUN);
	mesh_remove_entry(&m.nodes[leaver]);
	removed_at = refused_until = base_now_ms();
	if (m.trouble) {
		mesh_refuse_store(&m.nodes[leaver], 1);
		refused_until += REFUSE_MS;
	}
	c = mesh_client_open(&m, leaver);
	for (i = 0; i < SERVES_MS / PERIOD_MS; i++) {
		if (m.trouble && refused_until != 0 &&
		    base_now_ms() >= removed_at + REFUSE_MS &&
		    m.store->addresses[leaver].fault != STORE_NO_FAULT)
			mesh_refuse_store(&m.nodes[leaver], 0);
		if (c->bev == NULL)
			c = mesh_client_open(&m, leaver);
		if (g_queue_get_length(&c->waiting) == 0)
			mesh_get(c, "desk", 10, 100);
		mesh_run(&m, PERIOD_MS);
	}
	mesh_stop_server(&m.nodes[leaver]);
	since = MAX(removed_at + DRAIN_MS, refused_until + CONTACT_MS);
	for (i = 0; i < (int)m.requests->len; i++) {
		r = g_ptr_array_index(m.requests, i);
		late +=
		    r->ran_on == leaver && r->runs > 0 && r->sent_at > since;
	}
	mesh_note(&m,
	    "%d requests were sent to node %d while it was in touch again, and "
	    "reached its server later than %d ms after the store had "
	    "acknowledged that it is gone",
	    late, leaver, DRAIN_MS);
	return mesh_end(&m, late > 0 ? MESH_BROKEN : MESH_HELD);
}
