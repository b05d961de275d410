/*
 * The platform's store turns away the machines that read it for two zones
 * (platform_down, nodes) while a server leaves that never reports draining: its
 * entry is removed, and it serves on for DrainMs and a little longer.  Machines
 * that are served by the store, and are in touch, may not send it requests
 * later than DrainMs after the store has acknowledged the removal.
 */
#include <string.h>

#include "../stand/mesh.h"

#define DRAIN_MS  2000
#define SERVES_MS 4500 /* after the removal: DrainMs and a little longer */
#define CALM_MS	  6000 /* all machines are in touch by then */
#define REFUSE_MS 5000
#define PERIOD_MS 40 /* between two requests of a client */

/* Sends requests from two machines for ms. */
static void
send_requests(struct mesh *m, const int *from, const char *service, int ms)
{
	struct mesh_client *c[2];
	int64_t until = base_now_ms() + ms;
	int i;

	for (i = 0; i < 2; i++)
		c[i] = mesh_client_open(m, from[i]);
	while (base_now_ms() < until) {
		for (i = 0; i < 2; i++) {
			if (c[i]->bev == NULL)
				c[i] = mesh_client_open(m, from[i]);
			if (g_queue_get_length(&c[i]->waiting) == 0)
				mesh_get(c[i], service, 10, 100);
		}
		mesh_run(m, PERIOD_MS);
	}
	for (i = 0; i < 2; i++)
		mesh_client_close(c[i]);
}

int
main(int argc, char **argv)
{
	static const char *const zones[] = { "a", "a", "a", "a", "b", "b", "b",
		"b" };
	static const char *const services[] = { "desk", "desk", "desk", "shop",
		"desk", "desk", "shop", "shop" };
	const struct mesh_request *r;
	int reads[MESH_NODES_MAX] = { 0 }, from[2] = { -1, -1 };
	int leaver = -1, i, nreaders = 0, late = 0;
	int64_t removed_at;
	struct mesh m;

	mesh_init(&m, argc, argv, G_N_ELEMENTS(zones), zones, services);
	mesh_put_config(&m, 1);
	mesh_start_all(&m);
	mesh_run(&m, CALM_MS);
	/* A machine that reads has a watch open most of the time. */
	for (i = 0; i < 20 * m.nnodes; i++) {
		reads[i % m.nnodes] |= mesh_reads_store(&m.nodes[i % m.nnodes]);
		if (i % m.nnodes == 0)
			mesh_run(&m, 60);
	}
	for (i = 0; i < m.nnodes; i++) {
		nreaders += reads[i];
		if (reads[i] || strcmp(zones[i], "a") != 0)
			continue;
		if (leaver < 0 && strcmp(services[i], "desk") == 0)
			leaver = i;
		else if (from[1] < 0)
			from[1] = i;
	}
	from[0] = leaver;
	mesh_note(&m,
	    "%d machines read the store; the server of node %d leaves",
	    nreaders, leaver);
	if (nreaders != 2 || leaver < 0 || from[1] < 0)
		return mesh_end(&m, MESH_CANNOT_RUN);
	for (i = 0; i < m.nnodes && m.trouble; i++)
		if (reads[i])
			mesh_refuse_store(&m.nodes[i], 1);
	send_requests(&m, from, "desk", 100);
	mesh_remove_entry(&m.nodes[leaver]);
	removed_at = base_now_ms();
	send_requests(&m, from, "desk", SERVES_MS);
	mesh_stop_server(&m.nodes[leaver]);
	mesh_run(&m, REFUSE_MS - SERVES_MS);
	for (i = 0; i < m.nnodes && m.trouble; i++)
		if (reads[i])
			mesh_refuse_store(&m.nodes[i], 0);
	for (i = 0; i < (int)m.requests->len; i++) {
		r = g_ptr_array_index(m.requests, i);
		late += r->ran_on == leaver && r->runs > 0 &&
			r->ran_at > removed_at + DRAIN_MS;
	}
	mesh_note(&m,
	    "%d requests reached the server later than %d ms after the store "
	    "had acknowledged that it is gone",
	    late, DRAIN_MS);
	return mesh_end(&m, late > 0 ? MESH_BROKEN : MESH_HELD);
}
