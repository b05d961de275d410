/*
 * The platform's store is down while processes start (platform_down), and the
 * list of seeds in their settings becomes shorter.  No process may end by
 * itself, least of all three times on several machines.
 */
#include <stdlib.h>

#include "../stand/mesh.h"

#define ROUNDS	  4
#define CHANGE_MS 500  /* from the start of the processes to the change */
#define BACK_MS	  800  /* from the change until there are three seeds again */
#define DOWN_MS	  7500 /* of the store, from the start */
#define ENDS_MAX  3    /* by itself, on one machine */
#define MACHINES  2    /* on so many machines it is a fault of the day */

/* Sets the seeds of all nodes, as the platform does. */
static void
set_seeds(struct mesh *m, int n)
{
	GString *text = g_string_new(NULL);
	int i;

	/* Addresses of machines that are down: nothing listens there. */
	for (i = 0; i < n; i++)
		g_string_append_printf(text, "%s\"127.%d.9.%d:8303\"",
		    i > 0 ? ", " : "", m->net, i + 1);
	m->seeds = g_string_free(text, FALSE);
	for (i = 0; i < m->nnodes; i++)
		mesh_write_settings(&m->nodes[i]);
	mesh_note(m, "settings: %d seeds", n);
}

/* Waits until all processes run that the platform starts again. */
static void
wait_for_restarts(struct mesh *m)
{
	int i;

	for (i = 0; i < m->nnodes; i++)
		while (m->nodes[i].pid == 0)
			mesh_run(m, 10);
}

int
main(int argc, char **argv)
{
	static const char *const zones[] = { "a", "a", "b", "b" };
	static const char *const services[] = { "front", "back", "front",
		"back" };
	int64_t up_at;
	struct mesh m;
	int i, machines = 0;

	mesh_init(&m, argc, argv, G_N_ELEMENTS(zones), zones, services);
	mesh_put_config(&m, 1);
	set_seeds(&m, 3);
	if (m.trouble)
		store_set_fault(m.store, STORE_BUSY);
	mesh_note(&m, "store: %s", m.trouble ? "down" : "up");
	up_at = base_now_ms() + DOWN_MS;
	for (i = 0; i < m.nnodes; i++)
		mesh_start(&m.nodes[i]);
	for (i = 0; i < ROUNDS; i++) {
		mesh_run(&m, CHANGE_MS);
		set_seeds(&m, 1);
		mesh_run(&m, BACK_MS);
		set_seeds(&m, 3);
		wait_for_restarts(&m);
	}
	if (up_at > base_now_ms())
		mesh_run(&m, (int)(up_at - base_now_ms()));
	store_set_fault(m.store, STORE_NO_FAULT);
	mesh_note(&m, "store: up");
	mesh_run(&m, 2000);
	for (i = 0; i < m.nnodes; i++) {
		mesh_note(&m, "node %d: its process ended by itself %d times",
		    i, m.nodes[i].own_ends);
		machines += m.nodes[i].own_ends >= ENDS_MAX;
	}
	return mesh_end(&m, machines >= MACHINES ? MESH_BROKEN : MESH_HELD);
}
