/* Encodes and decodes the items that nodes send to each other (state.proto). */
#include <stdlib.h>

#include "follow_int.h"
#include "state.pb-c.h"

static GBytes *take_value(State__Item *);

/* Appends the encoded items; a NULL value is sent as a removal. */
void
state_pack(const GPtrArray *items, struct view_revision as_of, GString *out)
{
	State__State s = STATE__STATE__INIT;
	State__Item *list = g_new(State__Item, items->len + 1);
	const struct platform_item *it;
	gsize len, at = out->len;
	guint i;

	s.as_of = as_of.number;
	s.as_of_era = as_of.era;
	s.n_items = items->len;
	s.items = g_new(State__Item *, items->len + 1);
	for (i = 0; i < items->len; i++) {
		it = g_ptr_array_index(items, i);
		state__item__init(&list[i]);
		list[i].kind = it->kind;
		list[i].name = it->name != NULL ? it->name : "";
		list[i].revision = it->revision.number;
		list[i].era = it->revision.era;
		list[i].copied = it->copied != 0;
		list[i].removed_major = it->removed.major;
		list[i].removed_minor = it->removed.minor;
		list[i].removed = it->value == NULL;
		if (it->value != NULL) {
			list[i].value.data =
			    (uint8_t *)g_bytes_get_data(it->value, &len);
			list[i].value.len = g_bytes_get_size(it->value);
		}
		s.items[i] = &list[i];
	}
	g_string_set_size(out, at + state__state__get_packed_size(&s));
	state__state__pack(&s, (uint8_t *)out->str + at);
	g_free(s.items);
	g_free(list);
}

/* Takes the value of an item without a copy; protobuf-c allocates by malloc. */
static GBytes *
take_value(State__Item *s)
{
	ProtobufCBinaryData value = s->value;

	s->value = (ProtobufCBinaryData){ 0, NULL };
	return g_bytes_new_with_free_func(
	    value.data, value.len, free, value.data);
}

/* Decodes items; those of kinds that this build does not know are skipped. */
int
state_unpack(const char *text, size_t len, struct platform_page *p)
{
	struct platform_item it;
	State__Item *s;
	State__State *st;
	size_t i;

	st = state__state__unpack(NULL, len, (const uint8_t *)text);
	if (st == NULL)
		return PLATFORM_EMALFORMED;
	platform_page_init(p);
	p->as_of = (struct view_revision){ st->as_of_era, st->as_of };
	for (i = 0; i < st->n_items; i++) {
		s = st->items[i];
		if (s->kind >= PLATFORM_OTHER)
			continue;
		it = (struct platform_item){ (enum platform_kind)s->kind,
			s->kind == PLATFORM_CONFIG ? NULL : g_strdup(s->name),
			s->removed ? NULL : take_value(s),
			{ s->era, s->revision }, s->copied,
			{ s->removed_major, s->removed_minor } };
		g_array_append_val(p->items, it);
	}
	state__state__free_unpacked(st, NULL);
	return PLATFORM_OK;
}
