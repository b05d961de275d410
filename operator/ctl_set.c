/* Subcommands that work on files: check, list, diff, out, in, pack, key. */
#include <errno.h>
#include <string.h>
#include <sys/stat.h>

#include <sodium.h>

#include "../source/source.h"
#include "ctl.h"

#define KEY_BYTES     32
#define PART_SIZE     (512 * 1024) /* default size of a part, bytes */
#define DIR_MODE      0777
#define KEY_FILE_MODE 0600

static int write_key(const char *, const char *, const void *, size_t);
static int read_head(const char *, struct manifest *);

/* check FILE: checks a set and prints how many objects of each kind it has. */
int
ctl_check(int argc, char **argv)
{
	struct set *s;
	char *text;
	size_t len;
	int code;

	if ((code = ctl_parse_options(NULL, "FILE", &argc, &argv, 1, 1)) !=
	    CTL_OK)
		return code;
	if ((s = ctl_read_set(argv[1], &text, &len, &code)) == NULL)
		return code;
	printf("%s: accepted: %d data centres, %d services, %d targets, "
	       "%d routes\n",
	    argv[1], s->ndcs, s->nservices, s->ntargets, s->nroutes);
	set_free(s);
	g_free(text);
	return CTL_OK;
}

/*
 * list FILE: prints one line per target.  tools/fleet.sh reads the fields,
 * which are separated by tabs.
 */
int
ctl_list(int argc, char **argv)
{
	const struct set_target *t;
	struct set *s;
	char *text;
	size_t len;
	int code, i;

	if ((code = ctl_parse_options(NULL, "FILE", &argc, &argv, 1, 1)) !=
	    CTL_OK)
		return code;
	if ((s = ctl_read_set(argv[1], &text, &len, &code)) == NULL)
		return code;
	for (i = 0; i < s->ntargets; i++) {
		t = &s->targets[i];
		printf("%s\t%s\t%s\t%s\t%d\t%s\n", t->vm, t->dc_name, t->name,
		    t->service_name, s->services[t->service].slots,
		    set_target_in(s, i) ? "in" : "out");
	}
	set_free(s);
	g_free(text);
	return CTL_OK;
}

/* diff OLD NEW: prints the differences between two valid sets. */
int
ctl_diff(int argc, char **argv)
{
	static int json;
	const GOptionEntry entries[] = {
		{ "json", 0, 0, G_OPTION_ARG_NONE, &json, "Print JSON", NULL },
		{ NULL, 0, 0, 0, NULL, NULL, NULL },
	};
	struct set *a, *b;
	GString *out;
	char *old_text, *new_text;
	size_t len;
	int code;

	if ((code = ctl_parse_options(
		 entries, "OLD NEW", &argc, &argv, 2, 2)) != CTL_OK)
		return code;
	if ((a = ctl_read_set(argv[1], &old_text, &len, &code)) == NULL ||
	    (b = ctl_read_set(argv[2], &new_text, &len, &code)) == NULL)
		return code;
	out = g_string_new(NULL);
	set_diff(a, b, json, out);
	fputs(out->str, stdout);
	g_string_free(out, TRUE);
	set_free(a);
	set_free(b);
	g_free(old_text);
	g_free(new_text);
	return CTL_OK;
}

/*
 * out|in data-centre|target NAME FILE: prints the set with the changed state;
 * the file itself is not written.
 */
int
ctl_edit(int argc, char **argv)
{
	static const struct {
		const char *name, *section;
	} kinds[] = { { "data-centre", "data_centres" },
		{ "target", "targets" } };
	enum set_state state;
	struct report *rep;
	const char *section = NULL;
	GString *out, *problems;
	char *text;
	size_t len, i;
	int code;

	state = strcmp(argv[0], "out") == 0 ? SET_OUT : SET_IN;
	if ((code = ctl_parse_options(NULL, "data-centre|target NAME FILE",
		 &argc, &argv, 3, 3)) != CTL_OK)
		return code;
	for (i = 0; i < G_N_ELEMENTS(kinds); i++)
		if (strcmp(kinds[i].name, argv[1]) == 0)
			section = kinds[i].section;
	if (section == NULL) {
		fprintf(stderr,
		    "teaselctl: \"%s\" is neither data-centre nor "
		    "target\n",
		    argv[1]);
		return CTL_USAGE;
	}
	if (base_read_file(argv[3], BASE_SET_MAX, &text, &len) != BASE_OK) {
		fprintf(stderr, "teaselctl: %s cannot be read\n", argv[3]);
		return CTL_USAGE;
	}
	rep = report_new();
	out = g_string_new(NULL);
	problems = g_string_new(NULL);
	code = set_edit_state(text, len, section, argv[2], state, out, rep) ==
		       MESH_OK
		   ? CTL_OK
		   : CTL_REFUSED;
	report_print(rep, argv[3], problems);
	fputs(problems->str, stderr);
	if (code == CTL_OK)
		fwrite(out->str, 1, out->len, stdout);
	g_string_free(problems, TRUE);
	g_string_free(out, TRUE);
	report_free(rep);
	g_free(text);
	return code;
}

/*
 * Writes the value of a key of the store to DIR/KEY and prints the key.  The
 * order of the output is the order in which the keys are to be published.
 */
static int
write_key(const char *dir, const char *key, const void *data, size_t len)
{
	char *path, *dir_path;
	FILE *f;
	int ok = 0;

	path = g_strdup_printf("%s/%s", dir, key);
	dir_path = g_path_get_dirname(path);
	if (g_mkdir_with_parents(dir_path, DIR_MODE) == 0 &&
	    (f = fopen(path, "wb")) != NULL) {
		ok = fwrite(data, 1, len, f) == len;
		ok = fclose(f) == 0 && ok;
	}
	if (!ok)
		fprintf(stderr, "teaselctl: %s: %s\n", path, strerror(errno));
	else
		printf("%s\n", key);
	g_free(dir_path);
	g_free(path);
	return ok;
}

/* Reads the head of the parent set; 0 or a negative error. */
static int
read_head(const char *path, struct manifest *m)
{
	char *text;
	size_t len;
	int err;

	if (base_read_file(path, BASE_SET_MAX, &text, &len) != BASE_OK)
		return BASE_EREAD;
	err = manifest_parse(text, len, m);
	g_free(text);
	return err;
}

/*
 * pack FILE DIR: writes the parts of a set and then its head, one file per key
 * of the store.
 */
int
ctl_pack(int argc, char **argv)
{
	static char *parent;
	static int version, part_size = PART_SIZE, unchecked;
	const GOptionEntry entries[] = {
		{ "parent", 'p', 0, G_OPTION_ARG_FILENAME, &parent,
		    "Head of the set that this one was derived from", "HEAD" },
		{ "number", 'n', 0, G_OPTION_ARG_INT, &version,
		    "Version number; default: that of the parent plus 1", "N" },
		{ "part-size", 0, 0, G_OPTION_ARG_INT, &part_size,
		    "Maximum size of one value, in bytes", "N" },
		{ "unchecked", 0, 0, G_OPTION_ARG_NONE, &unchecked,
		    "Pack the set without checking it, for tests", NULL },
		{ NULL, 0, 0, 0, NULL, NULL, NULL },
	};
	struct manifest m = { .parts = 0 }, old;
	struct set *s;
	GString *head;
	char *text, *key;
	size_t len, at, n;
	int code, ok = 1;

	if ((code = ctl_parse_options(
		 entries, "FILE DIR", &argc, &argv, 2, 2)) != CTL_OK)
		return code;
	if (parent != NULL) {
		if (read_head(parent, &old) != 0) {
			fprintf(stderr,
			    "teaselctl: %s cannot be read as a head\n", parent);
			return CTL_USAGE;
		}
		memcpy(m.parent, old.version.hash, VERSION_HASH_LEN);
		m.has_parent = 1;
		m.version.number = old.version.number + 1;
	}
	if (version > 0)
		m.version.number = (uint64_t)version;
	if (m.version.number == 0 || part_size < 1) {
		fprintf(stderr, "teaselctl: pack needs --parent or --number\n");
		return CTL_USAGE;
	}
	if (unchecked) {
		if (base_read_file(argv[1], BASE_SET_MAX, &text, &len) !=
		    BASE_OK)
			return CTL_USAGE;
	} else {
		if ((s = ctl_read_set(argv[1], &text, &len, &code)) == NULL)
			return code;
		set_free(s);
	}
	version_hash(text, len, m.version.hash);
	m.bytes = (int)len;
	for (at = 0; ok && at < len; at += n) {
		n = MIN(len - at, (size_t)part_size);
		key = manifest_part_key(&m, m.parts++);
		ok = write_key(argv[2], key, text + at, n);
		g_free(key);
	}
	/* Readers of the store refuse more, so fail before publishing. */
	if (m.parts > SOURCE_PARTS_MAX) {
		fprintf(stderr,
		    "teaselctl: the set has %d parts, more than %d\n", m.parts,
		    SOURCE_PARTS_MAX);
		ok = 0;
	}
	head = g_string_new(NULL);
	manifest_print(&m, head);
	ok = ok && write_key(argv[2], SOURCE_KEY_HEAD, head->str, head->len);
	g_string_free(head, TRUE);
	g_free(text);
	return ok ? CTL_OK : CTL_REFUSED;
}

/* key FILE: writes a new random key in hexadecimal; FILE must not exist. */
int
ctl_key(int argc, char **argv)
{
	unsigned char raw[KEY_BYTES];
	char hex[2 * KEY_BYTES + 2];
	FILE *f;
	int code;

	if ((code = ctl_parse_options(NULL, "FILE", &argc, &argv, 1, 1)) !=
	    CTL_OK)
		return code;
	umask(~KEY_FILE_MODE & 0777);
	if ((f = fopen(argv[1], "wx")) == NULL) {
		fprintf(
		    stderr, "teaselctl: %s: %s\n", argv[1], strerror(errno));
		return CTL_USAGE;
	}
	randombytes_buf(raw, sizeof(raw));
	sodium_bin2hex(hex, sizeof(hex), raw, sizeof(raw));
	fprintf(f, "%s\n", hex);
	return fclose(f) == 0 ? CTL_OK : CTL_USAGE;
}
