/*
 * Stand-in for the store: its return from a copy, the era in its answers, and
 * answers that arrive late.
 */
#include <inttypes.h>
#include <string.h>

#include "store_int.h"

/* An answer that was written but not sent yet. */
struct delayed_answer {
	struct http_exchange *exchange;
	struct http_message *message;
};

static void delayed_free(struct delayed_answer *);
static void cut_watches(struct store *);

/* Replaces an earlier copy. */
void
store_save(struct store *s)
{
	store_data_clear(&s->copy);
	store_data_copy(&s->copy, &s->data);
}

/* Delayed answers keep the era and the items that they were written with. */
void
store_restore(struct store *s)
{
	if (s->copy.items == NULL)
		return;
	cut_watches(s);
	store_data_clear(&s->data);
	store_data_copy(&s->data, &s->copy);
	if (s->stale_items != NULL)
		g_ptr_array_free(s->stale_items, TRUE);
	s->stale_items = NULL;
	s->era++;
}

/* The copy must have been kept before that page is read. */
void
store_restore_after_page(struct store *s)
{
	s->restore_after_page = 1;
}

/* Restores the store between two pages of a list if a test has asked for it. */
void
store_page_sent(struct store *s, int more)
{
	if (!more || !s->restore_after_page)
		return;
	s->restore_after_page = 0;
	store_restore(s);
}

/* Closes the connections of open watches without an answer. */
static void
cut_watches(struct store *s)
{
	struct http_message *head = http_message_new();
	struct http_exchange *x;

	head->status = 503;
	while (s->watches->len > 0) {
		x = ((struct watch *)g_ptr_array_index(s->watches, 0))
			->exchange;
		g_ptr_array_remove_index(s->watches, 0);
		http_reply_begin(x, head);
		http_reply_end(x, 0);
	}
	http_message_free(head);
}

/* The next restore adds one to it. */
void
store_set_era(struct store *s, uint64_t era)
{
	s->era = era;
}

/* The era itself goes on rising. */
void
store_set_era_text(struct store *s, const char *text)
{
	g_free(s->era_text);
	s->era_text = g_strdup(text);
}

/* Replaces an earlier prefix; answers already delayed stay so. */
void
store_delay_answers(struct store *s, const char *prefix)
{
	g_free(s->delayed_prefix);
	s->delayed_prefix = g_strdup(prefix);
}

/* In the order in which they were written. */
void
store_send_delayed(struct store *s)
{
	struct delayed_answer *d;

	g_clear_pointer(&s->delayed_prefix, g_free);
	while ((d = g_queue_pop_head(&s->delayed)) != NULL) {
		http_reply(d->exchange, d->message);
		delayed_free(d);
	}
}

/* How many answers wait for store_send_delayed(). */
int
store_delayed(const struct store *s)
{
	return (int)s->delayed.length;
}

/* Releases an answer, sent or not. */
static void
delayed_free(struct delayed_answer *d)
{
	http_message_free(d->message);
	g_free(d);
}

/* All exchanges if the argument is NULL. */
void
store_drop_delayed(struct store *s, const struct http_exchange *x)
{
	struct delayed_answer *d;
	GList *i, *next;

	for (i = s->delayed.head; i != NULL; i = next) {
		next = i->next;
		d = i->data;
		if (x != NULL && d->exchange != x)
			continue;
		delayed_free(d);
		g_queue_delete_link(&s->delayed, i);
	}
}

/* The body is JSON, except for faults. */
void
store_reply(struct store *s, struct http_exchange *x, const char *prefix,
    int status, const char *body)
{
	struct http_message *m = http_message_new();
	struct delayed_answer *d;
	char era[24];

	m->status = status;
	http_add(m, "Content-Type", "application/json");
	g_snprintf(era, sizeof(era), "%" PRIu64, s->era);
	if (s->era_text == NULL)
		http_add(m, "Store-Era", era);
	else if (s->era_text[0] != '\0')
		http_add(m, "Store-Era", s->era_text);
	g_byte_array_append(m->body, (const guint8 *)body, (guint)strlen(body));
	if (s->delayed_prefix == NULL ||
	    !g_str_has_prefix(prefix, s->delayed_prefix)) {
		http_reply(x, m);
		http_message_free(m);
		return;
	}
	d = g_new(struct delayed_answer, 1);
	*d = (struct delayed_answer){ x, m };
	http_exchange_set(x, NULL);
	g_queue_push_tail(&s->delayed, d);
}
