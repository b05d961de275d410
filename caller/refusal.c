/* Refusals: the outcome, whether the request ran, and when to retry. */
#include "caller.h"

static void add_header(GArray *, const char *, const char *);

/* Appends a copy of a header. */
static void
add_header(GArray *out, const char *name, const char *value)
{
	struct http_header h;

	h.name = g_strdup(name);
	h.value = g_strdup(value);
	g_array_append_val(out, h);
}

/* Replies with a refusal and counts it. */
void
refusal_reply(struct server_request *r, const struct refusal *ref)
{
	const struct outcome_info *o = &outcomes[ref->outcome];
	GArray *headers;
	GString *body;
	char seconds[16];
	size_t n;

	counter_add(
	    ref->not_run ? CTR_REFUSED_NOT_RUN : CTR_REFUSED_UNKNOWN, 1);
	headers = g_array_new(FALSE, FALSE, sizeof(struct http_header));
	add_header(headers, "Content-Type", "application/json");
	if (ref->id != NULL)
		add_header(headers, "X-Request-Id", ref->id);
	if (ref->retry_after_ms > 0) {
		g_snprintf(seconds, sizeof(seconds), "%d",
		    (ref->retry_after_ms + BASE_MS_PER_S - 1) / BASE_MS_PER_S);
		add_header(headers, "Retry-After", seconds);
	}
	body = g_string_new(NULL);
	g_string_append_printf(body,
	    "{\"code\": \"%s\", \"ran\": \"%s\", \"repeat\": %s", o->code,
	    ref->not_run ? "not_run" : "unknown", o->repeat ? "true" : "false");
	if (ref->retry_after_ms > 0)
		g_string_append_printf(
		    body, ", \"retry_after_ms\": %d", ref->retry_after_ms);
	if (ref->id != NULL) {
		g_string_append(body, ", \"request_id\": ");
		json_quote(body, ref->id);
	}
	if (ref->detail != NULL) {
		g_string_append(body, ", \"detail\": ");
		json_quote(body, ref->detail);
	}
	g_string_append(body, "}\n");
	n = headers->len;
	server_reply(r, o->status,
	    (struct http_header *)(void *)g_array_free(headers, FALSE), n,
	    g_string_free_to_bytes(body));
}
