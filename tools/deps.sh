#!/usr/bin/env bash
# Installs the missing packages of those that build, tests and demo need.
set -eu
packages="build-essential pkg-config clang clang-format clang-tidy
	libglib2.0-dev libmicrohttpd-dev libneon27-gnutls-dev libzmq3-dev
	libsodium-dev liburcu-dev libyajl-dev libprotobuf-c-dev libzstd-dev
	libxxhash-dev libevent-dev libhttp-parser-dev libcunit1-dev mandoc curl gnuplot-nox"
missing=
for p in $packages; do
	dpkg-query -W -f '${Status}\n' "$p" 2> /dev/null |
	    grep -q '^install ok installed' || missing="$missing $p"
done
[ -z "$missing" ] && exit 0
export DEBIAN_FRONTEND=noninteractive
as_root=
[ "$(id -u)" = 0 ] || as_root=sudo
$as_root apt-get update -qq
# shellcheck disable=SC2086
$as_root apt-get install -y --no-install-recommends $missing
