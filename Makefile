# teaselstep: build, tests, demo.  GNU make.
CC = cc
OBJ = obj
BIN = bin
PKGS = glib-2.0 libmicrohttpd neon libzmq libsodium liburcu-bp yajl \
	libprotobuf-c libzstd libxxhash libevent_core libevent_extra
WARN = -Wall -Wextra -Wstrict-prototypes -Wmissing-prototypes -Wshadow \
	-Wno-unused-parameter -Werror
CFLAGS = -O2 -g
ALL_CFLAGS = -std=gnu11 -D_GNU_SOURCE $(WARN) -pthread $(shell pkg-config --cflags $(PKGS)) \
	$(CFLAGS)
LIBS = $(shell pkg-config --libs $(PKGS)) -lhttp_parser -lm -pthread

BASE = base/address.c base/clock.c base/counter.c base/error.c base/field.c base/file.c base/histogram.c \
	base/json.c base/log.c base/queue.c base/report.c
HTTP = http/client.c http/connect.c http/message.c http/parse.c http/pipeline.c http/server.c http/write.c
MESH = mesh/admit.c mesh/admit_reserve.c mesh/budget.c mesh/call.c mesh/call_kinds.c mesh/callee_health.c mesh/caller_age.c mesh/egress.c mesh/egress_order.c mesh/forecast.c mesh/guard.c mesh/home.c mesh/limit.c mesh/link_admit.c mesh/member.c mesh/member_probe.c mesh/member_rumour.c \
	mesh/memory.c mesh/names.c mesh/outlier.c mesh/pick.c mesh/poison.c mesh/reqid.c mesh/set.c \
	mesh/set_check.c mesh/set_diff.c mesh/set_edit.c mesh/set_read.c mesh/retry_quota.c mesh/slow_start.c mesh/version.c
VIEW = view/config.c view/view.c
PLATFORM = platform/config.c platform/config_read.c platform/config_text.c platform/names.c platform/page.c platform/stamp.c platform/store.c platform/target.c
PROXY = proxy/calls.c proxy/choose.c proxy/crash.c proxy/entry.c proxy/estimate.c proxy/feed_codec.c proxy/guard.c proxy/guard_http.c proxy/guard_link.c proxy/guard_slots.c proxy/leaving.c proxy/link_client.c proxy/link_egress.c proxy/link_frame.c proxy/link_server.c proxy/link_state.c proxy/link_stream.c proxy/link_suspect.c proxy/links.c proxy/offer.c proxy/probe.c proxy/quarantine.c \
	proxy/proxy.c proxy/upstream.c proxy/where.c proxy/link.pb-c.c
SIDE = side/config_apply.c side/feed.c side/follow.c side/held.c side/pause.c side/publish.c side/rank.c side/store_reader.c side/relay.c side/settings.c side/settle.c side/state.c side/state.pb-c.c side/verify.c side/where.c
SOURCE = source/budget.c source/http.c source/manifest.c \
	source/reader.c
UPSTREAM = upstream/exchange.c upstream/pool.c
CALLER = caller/refusal.c caller/server.c
NODE = node/choose.c node/config.c node/delta.c node/entry.c node/gossip.c node/entry_request.c node/join.c node/answer_cache.c node/link.c \
	node/loop.c node/mailbox.c node/node.c node/record.c node/role.c node/seal.c node/reply.c node/serve.c node/pending.c \
	node/send.c node/settings.c node/span.c node/spread.c node/status.c node/suspect.c node/wire_set.c \
	node/wire.pb-c.c
GENERATED = node/wire.pb-c.c proxy/link.pb-c.c side/state.pb-c.c
LIB = $(BASE) $(HTTP) $(MESH) $(VIEW) $(PLATFORM) $(PROXY) $(SIDE) $(SOURCE) $(UPSTREAM) $(CALLER) $(NODE)
LIB_OBJ = $(LIB:%.c=$(OBJ)/%.o)

CTL = operator/ctl_common.c operator/ctl_node.c operator/ctl_set.c \
	operator/ctl_watch.c operator/ctl_where.c operator/ctl_why.c operator/teaselctl.c
CTL_OBJ = $(CTL:%.c=$(OBJ)/%.o)

REPLAY = replay/replay.c replay/replay_call.c replay/replay_guard.c \
	replay/replay_version.c replay/walk.c replay/walk_guard.c \
	replay/walk_steps.c
REPLAY_OBJ = $(REPLAY:%.c=$(OBJ)/%.o)

STANDIN = standin/fault.c standin/http.c standin/ledger.c standin/store.c standin/store_data.c \
	standin/store_era.c standin/store_put.c
STANDIN_OBJ = $(STANDIN:%.c=$(OBJ)/%.o)

SOAK = soak/target.c soak/fleet.c soak/callers.c soak/checker.c soak/link_proxy.c \
	soak/faults.c soak/operator.c soak/probe.c soak/restore.c soak/teaselsoak.c
SOAK_OBJ = $(SOAK:%.c=$(OBJ)/%.o)

PROGS = $(BIN)/teaselnode $(BIN)/teaselside $(BIN)/teaselctl $(BIN)/teaselplatform $(BIN)/teaseltarget \
	$(BIN)/teaselcalls $(BIN)/teaselfault $(BIN)/teaselreplay $(BIN)/teaselsoak

TESTS = $(patsubst test/%.c,$(BIN)/%,$(wildcard test/test_*.c))
SRC = $(filter-out $(GENERATED),$(LIB)) $(CTL) $(STANDIN) \
	$(SOAK) $(REPLAY) replay/teaselreplay.c node/teaselnode.c side/teaselside.c $(wildcard standin/teasel*.c) $(wildcard test/*.c) \
	$(wildcard bench/*.c) $(wildcard fuzz/*.c)
HDR = $(filter-out %.pb-c.h,$(wildcard */*.h))

all: $(PROGS)

$(OBJ)/%.o: %.c
	@mkdir -p $(@D)
	@echo "  CC $<"
	@$(CC) $(ALL_CFLAGS) -MMD -c -o $@ $<

$(GENERATED:%.c=$(OBJ)/%.o): ALL_CFLAGS += -Wno-error

$(OBJ)/libteaselstep.a: $(LIB_OBJ)
	@rm -f $@
	@ar rcs $@ $(LIB_OBJ)

$(BIN)/teaselnode: $(OBJ)/node/teaselnode.o $(OBJ)/libteaselstep.a
	@mkdir -p $(@D)
	@echo "  LD $@"
	@$(CC) $(ALL_CFLAGS) -o $@ $(filter %.o,$^) $(filter %.a,$^) $(LIBS)

$(BIN)/teaselside: $(OBJ)/side/teaselside.o $(OBJ)/libteaselstep.a
	@mkdir -p $(@D)
	@echo "  LD $@"
	@$(CC) $(ALL_CFLAGS) -o $@ $(filter %.o,$^) $(filter %.a,$^) $(LIBS)

$(BIN)/teaselctl: $(CTL_OBJ) $(OBJ)/libteaselstep.a
	@mkdir -p $(@D)
	@echo "  LD $@"
	@$(CC) $(ALL_CFLAGS) -o $@ $(filter %.o,$^) $(filter %.a,$^) $(LIBS)

$(BIN)/teaselreplay: $(OBJ)/replay/teaselreplay.o $(REPLAY_OBJ) \
	$(OBJ)/libteaselstep.a
	@mkdir -p $(@D)
	@echo "  LD $@"
	@$(CC) $(ALL_CFLAGS) -o $@ $(filter %.o,$^) $(filter %.a,$^) $(LIBS)

$(BIN)/teaselplatform: $(OBJ)/standin/teaselplatform.o
$(BIN)/teaseltarget: $(OBJ)/standin/teaseltarget.o
$(BIN)/teaselcalls: $(OBJ)/standin/teaselcalls.o
$(BIN)/teaselfault: $(OBJ)/standin/teaselfault.o
$(BIN)/teaselplatform $(BIN)/teaseltarget $(BIN)/teaselcalls $(BIN)/teaselfault: \
	$(STANDIN_OBJ) \
	$(OBJ)/libteaselstep.a
	@mkdir -p $(@D)
	@echo "  LD $@"
	@$(CC) $(ALL_CFLAGS) -o $@ $(filter %.o,$^) $(filter %.a,$^) $(LIBS)

$(BIN)/teaselsoak: $(SOAK_OBJ) $(STANDIN_OBJ) $(OBJ)/libteaselstep.a
	@mkdir -p $(@D)
	@echo "  LD $@"
	@$(CC) $(ALL_CFLAGS) -o $@ $(filter %.o,$^) $(filter %.a,$^) $(LIBS)

RIG_OBJ = $(patsubst %.c,$(OBJ)/%.o,$(wildcard test/rig*.c))
$(BIN)/test_%: $(OBJ)/test/test_%.o $(RIG_OBJ) $(STANDIN_OBJ) $(OBJ)/libteaselstep.a
	@mkdir -p $(@D)
	@echo "  LD $@"
	@$(CC) $(ALL_CFLAGS) -o $@ $(filter %.o,$^) $(filter %.a,$^) $(LIBS) \
	    -lcunit

$(BIN)/bench_%: $(OBJ)/bench/bench_%.o $(OBJ)/libteaselstep.a
	@mkdir -p $(@D)
	@echo "  LD $@"
	@$(CC) $(ALL_CFLAGS) -o $@ $(filter %.o,$^) $(filter %.a,$^) $(LIBS)

# All measurements, as JSON lines; the results are kept in bench/results/.
bench: all $(BIN)/bench_mesh $(BIN)/bench_config
	@FLEET_BIN=$(BIN) BIN=$(BIN) tools/bench.sh

# Installs the packages that the build and the tests need; only tools/deps.sh
# lists them.
deps:
	tools/deps.sh

# Unit tests, one program per module, then regressions, traces, random walks.
unit: all $(TESTS)
	@BIN=$(BIN) tools/unit.sh $(TESTS)
	@BIN=$(BIN) tools/regress.sh
	@$(BIN)/teaselreplay traces/*.jsonl
	@$(BIN)/teaselreplay --walk 3000

# All tests, with the packages they need.
check: deps
	@$(MAKE) --no-print-directory unit integration

# Unit tests under the address and undefined behaviour sanitizers; that of the
# configuration store, which threads share, also under the thread sanitizer.
SAN = address,undefined
sanitize:
	@$(MAKE) --no-print-directory OBJ=obj-asan BIN=bin-asan \
	    CFLAGS="-O1 -g -fsanitize=$(SAN) -fno-sanitize-recover=all" unit
	@$(MAKE) --no-print-directory OBJ=obj-tsan BIN=bin-tsan \
	    CFLAGS="-O1 -g -fsanitize=thread" bin-tsan/test_config
	bin-tsan/test_config

# Coverage-guided fuzzing of the parsers of external input, from a fixed seed
# with FUZZ_RUNS inputs each.
FUZZERS = $(patsubst fuzz/%.c,$(BIN)/%,$(wildcard fuzz/fuzz_*.c))
FUZZ_RUNS = 20000
$(BIN)/fuzz_%: $(OBJ)/fuzz/fuzz_%.o $(REPLAY_OBJ) $(OBJ)/libteaselstep.a
	@mkdir -p $(@D)
	@echo "  LD $@"
	@$(CC) $(ALL_CFLAGS) -fsanitize=fuzzer -o $@ $(filter %.o,$^) \
	    $(filter %.a,$^) $(LIBS)

fuzzers: $(FUZZERS)

fuzz:
	@$(MAKE) --no-print-directory CC=clang OBJ=obj-fuzz BIN=bin-fuzz \
	    CFLAGS="-O1 -g -fsanitize=fuzzer-no-link,address,undefined -fno-sanitize-recover=all" \
	    fuzzers
	@tools/fuzz.sh $(FUZZ_RUNS)

# Integration tests, with real processes on loopback addresses.
integration: all
	@FLEET_BIN=$(BIN) tools/integration.sh

# Demonstrates the main functions in under a minute.
demo: deps
	@$(MAKE) --no-print-directory all
	@FLEET_BIN=$(BIN) tools/demo.sh

format:
	clang-format -i $(SRC) $(HDR)

format-check:
	clang-format --dry-run -Werror $(SRC) $(HDR)

LINT = $(SRC:%.c=$(OBJ)/%.lint)

$(OBJ)/%.lint: %.c
	@mkdir -p $(@D)
	@echo "  LINT $<"
	@clang-tidy --quiet $< -- -std=gnu11 -D_GNU_SOURCE \
	    $(shell pkg-config --cflags $(PKGS)) > $@.out 2> /dev/null || \
	    { cat $@.out; exit 1; }
	@touch $@

lint: $(LINT)
	@tools/layers.sh
	@tools/events.sh
	@if ls man/*.[0-9] > /dev/null 2>&1; then \
	    mandoc -Tlint -Wwarning man/*.[0-9]; fi

clean:
	rm -rf $(OBJ) $(BIN)

-include $(shell find $(OBJ) -name '*.d' 2>/dev/null)



.PHONY: all bench clean deps fuzz fuzzers unit sanitize check integration demo format format-check lint
