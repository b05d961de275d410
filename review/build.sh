#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases, after the build of the
# deploy file, into target/review/.
set -eu
cd "$(dirname "$0")/.."
out=target/review
pkgs="glib-2.0 libmicrohttpd neon libzmq libsodium liburcu-bp yajl
	libprotobuf-c libzstd libxxhash libevent_core libevent_extra"
flags="-std=gnu11 -D_GNU_SOURCE -O2 -g -Wall -Wextra -Wno-unused-parameter -pthread"
mkdir -p "$out"
# shellcheck disable=SC2046,SC2086
for f in review/stand/mesh.c standin/fault.c standin/http.c standin/store.c \
    standin/store_data.c standin/store_era.c standin/store_put.c; do
	cc $flags $(pkg-config --cflags $pkgs) -c -o "$out/$(basename "$f" .c).o" "$f"
done
# shellcheck disable=SC2046,SC2086
for f in review/[1-5]/case.c; do
	[ -f "$f" ] || continue
	n=$(basename "$(dirname "$f")")
	cc $flags $(pkg-config --cflags $pkgs) -o "$out/case$n" "$f" "$out"/*.o \
	    target/obj/libteaselstep.a $(pkg-config --libs $pkgs) -lhttp_parser -pthread
done
