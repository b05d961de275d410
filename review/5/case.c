/*
 * A faulty server breaks off a long answer (garble).  The client has sent
 * further safe requests behind the first one, and the process has passed them
 * on to sound servers.  Their connection may not be closed without an answer
 * to them more than three times.
 */
#include "../stand/mesh.h"

#define CLIENTS	   40 /* one of them meets the faulty answer: 0.025 */
#define BEHIND	   5  /* requests behind the first one */
#define LONG_SIZE  (1024 * 1024)
#define CLOSED_MAX 3 /* the rule allows so many */

int
main(int argc, char **argv)
{
	static const char *const zones[] = { "a", "a", "a", "b" };
	static const char *const services[] = { "front", "files", "sound",
		"sound" };
	struct mesh_request *behind[CLIENTS * BEHIND];
	int i, k, n = 0, closed = 0;
	struct mesh_client *c;
	struct mesh m;

	mesh_init(&m, argc, argv, G_N_ELEMENTS(zones), zones, services);
	mesh_put_config(&m, 1);
	mesh_start_all(&m);
	mesh_run(&m, 4000);
	for (i = 0; i < CLIENTS; i++) {
		c = mesh_client_open(&m, 0);
		mesh_get(c, "sound", 5, 100);
		mesh_run(&m, 60);
		if (i == CLIENTS / 2 && m.trouble)
			mesh_get_broken(c, "files", 5, LONG_SIZE);
		else
			mesh_get(c, "files", 5, LONG_SIZE);
		for (k = 0; k < BEHIND; k++)
			behind[n++] = mesh_get(c, "sound", 100, 100);
		mesh_run(&m, 1200);
	}
	for (i = 0; i < n; i++)
		closed +=
		    behind[i]->kept && behind[i]->runs > 0 && behind[i]->cut;
	mesh_note(&m,
	    "%d requests were passed on to a sound server from a kept "
	    "connection that was closed without an answer to them (the rule "
	    "allows %d)",
	    closed, CLOSED_MAX);
	return mesh_end(&m, closed > CLOSED_MAX ? MESH_BROKEN : MESH_HELD);
}
