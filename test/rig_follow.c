/* Nodes whose views follow a stand-in for the platform's store. */
#include <string.h>

#include <sys/socket.h>
#include <xxhash.h>

#include "rig_follow.h"

#define PAGE 2 /* items in a page of a list */

/* Removes what the rig has put into a node's view. */
void
follow_rig_clear_view(struct rig_node *n)
{
	view_config_unref(n->view->config);
	n->view->config = NULL;
	g_hash_table_remove_all(n->view->targets);
	n->view->listed_revision.number = 0;
	n->view->synced_at = 0;
}

void
follow_rig_start_node(struct follow_rig *w, int i)
{
	w->settings[i].proxy = w->rig.nodes[i].settings;
	w->settings[i].store = w->store_addr;
	w->settings[i].beat_ms = FOLLOW_REPORT_MS;
	w->follows[i] = follow_start(w->rig.base, &w->settings[i],
	    w->rig.nodes[i].view, w->rig.nodes[i].proxy);
}

void
follow_rig_put_target(struct follow_rig *w, int i, const char *state)
{
	struct rig_node *n = &w->rig.nodes[i];

	store_put_target(w->store,
	    &(struct store_target){ n->target.id, "svc", n->target.addr,
		n->settings.data_centre, state, 0, 1 });
}

void
follow_rig_start(struct follow_rig *w)
{
	static const char *const north = "north";

	follow_rig_start_in(w, FOLLOW_RIG_NODES, &north, 1);
}

/* Starts with empty views, so that nodes must read or receive everything. */
void
follow_rig_start_in(
    struct follow_rig *w, int nodes, const char *const *dcs, int ndcs)
{
	int i;

	memset(w, 0, sizeof(*w));
	rig_start(&w->rig, nodes);
	g_snprintf(
	    w->store_addr, ADDRESS_MAX, "127.0.0.1:%d", w->rig.ports + 4);
	w->store = store_new(w->rig.base, w->store_addr, PAGE);
	store_put_config(w->store, 1, "svc", "/run/");
	g_snprintf(
	    w->second_addr, ADDRESS_MAX, "127.0.0.200:%d", w->rig.ports + 4);
	if ((w->address_id = store_add_address(w->store, w->second_addr)) < 0)
		g_error("cannot listen on %s", w->second_addr);
	for (i = 0; i < nodes; i++) {
		g_free(w->rig.nodes[i].settings.data_centre);
		w->rig.nodes[i].settings.data_centre = g_strdup(dcs[i % ndcs]);
		follow_rig_put_target(w, i, "ready");
		follow_rig_clear_view(&w->rig.nodes[i]);
	}
	for (i = 0; i < nodes; i++)
		follow_rig_start_node(w, i);
	rig_run(&w->rig, 900);
}

void
follow_rig_stop(struct follow_rig *w)
{
	int i;

	for (i = 0; i < w->rig.nnodes; i++)
		follow_stop(w->follows[i]);
	store_free(w->store);
	rig_stop(&w->rig);
}

/* Weight of a node's target, by which nodes are ranked. */
static uint64_t
weight(const struct follow_rig *w, int node)
{
	const char *addr = w->rig.nodes[node].target.addr;

	return XXH64(addr, strlen(addr), 0);
}

/* Sorts by the hash that feed.c ranks by. */
int
follow_rig_order(struct follow_rig *w, const char *dc, int *nodes)
{
	const struct rig_node *all = w->rig.nodes;
	int i, k, n = 0;

	for (i = 0; i < w->rig.nnodes; i++) {
		if (strcmp(all[i].settings.data_centre, dc) != 0)
			continue;
		for (k = n++; k > 0 && weight(w, nodes[k - 1]) > weight(w, i);
		     k--)
			nodes[k] = nodes[k - 1];
		nodes[k] = i;
	}
	return n;
}

void
follow_rig_list_silent(
    struct follow_rig *w, int before, int after, int *fds, int n)
{
	uint64_t h, least = before < 0 ? 0 : weight(w, before);
	char addr[ADDRESS_MAX], id[16];
	struct sockaddr_in sin;
	int i, k = 0, one = 1;

	/* Tries many addresses, as few hash between two given nodes. */
	for (i = 0; i < 40000 && k < n; i++) {
		g_snprintf(addr, sizeof(addr), "127.0.%d.%d:%d", 20 + i / 200,
		    20 + i % 200, w->rig.ports);
		h = XXH64(addr, strlen(addr), 0);
		if (h <= least || h >= weight(w, after))
			continue;
		g_snprintf(id, sizeof(id), "silent%d", k);
		store_put_target(w->store, &(struct store_target){ id, "other",
					       addr, "north", "ready", 0, 1 });
		g_snprintf(addr, sizeof(addr), "127.0.%d.%d:%d", 20 + i / 200,
		    20 + i % 200, w->rig.ports + 2);
		address_resolve(addr, &sin);
		fds[k] = socket(AF_INET, SOCK_STREAM, 0);
		setsockopt(fds[k], SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
		if (bind(fds[k], (struct sockaddr *)&sin, sizeof(sin)) != 0 ||
		    listen(fds[k], 64) != 0)
			g_error("cannot listen on %s", addr);
		k++;
	}
	if (k < n)
		g_error("no addresses rank between two nodes");
}

void
follow_rig_use_second_addr(struct follow_rig *w, int i)
{
	w->settings[i].store = w->second_addr;
	follow_settings_changed(w->follows[i]);
}

uint64_t
follow_rig_config_version(struct follow_rig *w, int i)
{
	const struct view_config *c = w->rig.nodes[i].view->config;

	return c != NULL ? c->version : 0;
}
