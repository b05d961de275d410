#!/bin/sh
# Builds the stand-ins of cases 6 to 10, into target/review/.
set -e
cd "$(dirname "$0")/.."
store="standin/store standin/store_data standin/store_era standin/store_put"
objs=
for f in $store; do objs="$objs target/obj/$f.o"; done
make -j8 BIN=target OBJ=target/obj target/obj/libteaselstep.a $objs
pkgs="glib-2.0 libmicrohttpd neon libzmq libsodium liburcu-bp yajl
libprotobuf-c libzstd libxxhash libevent_core libevent_extra"
mkdir -p target/review
for c in review/[0-9]*/case.c; do
	n=$(basename "$(dirname "$c")")
	[ "$n" -ge 6 ] || continue
	${CC:-cc} -std=gnu11 -D_GNU_SOURCE -O2 -g -Wall -Wextra \
	    -Wno-unused-parameter -Wno-missing-field-initializers $(pkg-config --cflags $pkgs) \
	    -o "target/review/case$n" "$c" review/stand-2/*.c $objs \
	    target/obj/libteaselstep.a $(pkg-config --libs $pkgs) \
	    -lhttp_parser -lm -pthread
done
