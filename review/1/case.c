/*
 * A process is killed (node_kill) while another one passes a long answer of
 * its server to a client that has sent a second request behind the first.
 * The other process must go on: its clients' kept connections have requests at
 * a sound server, and none of them may be closed without an answer.
 */
#include "../stand/mesh.h"

#define ENTRY	   0 /* takes the clients' requests; must go on */
#define KILLED	   1 /* beside the server of the long answer */
#define CLIENTS	   6 /* with kept connections */
#define LONG_SIZE  (2 * 1024 * 1024)
#define CLOSED_MAX 3 /* the rule allows so many */

int
main(int argc, char **argv)
{
	static const char *const zones[] = { "a", "a", "a", "b" };
	static const char *const services[] = { "front", "files", "sound",
		"sound" };
	struct mesh_client *clients[CLIENTS], *reader;
	struct mesh_request *requests[CLIENTS];
	struct mesh m;
	int i, closed = 0;

	mesh_init(&m, argc, argv, G_N_ELEMENTS(zones), zones, services);
	mesh_put_config(&m, 1);
	mesh_start_all(&m);
	/* ENTRY is in touch after three undisturbed seconds. */
	mesh_run(&m, 4000);
	for (i = 0; i < CLIENTS; i++) {
		clients[i] = mesh_client_open(&m, ENTRY);
		mesh_get(clients[i], "sound", 10, 100);
	}
	mesh_run(&m, 300);
	reader = mesh_client_open(&m, ENTRY);
	mesh_get(reader, "files", 10, LONG_SIZE);
	mesh_get(reader, "files", 1500, 100);
	mesh_run(&m, 300);
	for (i = 0; i < CLIENTS; i++)
		requests[i] = mesh_get(clients[i], "sound", 1000, 100);
	mesh_run(&m, 200);
	if (m.trouble)
		mesh_signal(&m.nodes[KILLED], SIGKILL);
	mesh_run(&m, 5000);
	for (i = 0; i < CLIENTS; i++)
		closed += requests[i]->kept && requests[i]->runs > 0 &&
			  requests[i]->cut;
	mesh_note(&m,
	    "node %d: its process ended by itself %d times, and %d kept "
	    "connections were closed without an answer to a request that was "
	    "passed on (the rule allows %d)",
	    ENTRY, m.nodes[ENTRY].own_ends, closed, CLOSED_MAX);
	return mesh_end(&m, closed > CLOSED_MAX ? MESH_BROKEN : MESH_HELD);
}
