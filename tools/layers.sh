#!/usr/bin/env bash
# Checks the direction of includes.  A package may include headers only of the
# packages listed after it; a file in node/ only headers of its own layer and of
# lower ones.
set -eu
cd "$(dirname "$0")/.."
bad=0

# Each package, and the packages whose headers it may include.
packages='
base:
http: base
mesh: base
view: base
proxy: http mesh view
platform: http proxy view
side: http mesh platform proxy view
source: base mesh
upstream: base http mesh
caller: base mesh upstream
node: base caller mesh source upstream
soak: http platform standin
operator: base caller mesh source
replay: base mesh
standin: base caller http mesh
'

# Layer of each header of node/, from the lowest; then that of each other file.
layers='
0 node.h config.h delta.h seal.h link.h mailbox.h span.h wire.pb-c.h wire_set.h
1 node_int.h
2 gossip.h
3 spread.h
4 serve.h serve_int.h record.h
5 entry.h entry_int.h
6 status.h
7 loop.h
'
files='
0 config.c delta.c seal.c link.c mailbox.c span.c wire_set.c settings.c
2 gossip.c join.c
3 spread.c
4 answer_cache.c record.c reply.c role.c serve.c pending.c suspect.c
5 choose.c entry.c entry_request.c send.c
6 status.c
7 loop.c
8 node.c teaselnode.c
'

# Prints an error and makes the check fail: complain FILE MESSAGE.
complain() {
	echo "$1: $2"
	bad=1
}

# Layer of a file of node/, or nothing: layer_of LIST FILE.
layer_of() {
	awk -v f="$2" '{ for (i = 2; i <= NF; i++) if ($i == f) print $1 }' \
	    <<< "$1"
}

while IFS=: read -r package allowed; do
	[[ -n $package ]] || continue
	for file in "$package"/*.[ch]; do
		for used in $(sed -n 's|^#include "\.\./\([a-z]*\)/.*|\1|p' "$file" |
		    sort -u); do
			[[ " $allowed " == *" $used "* ]] ||
			    complain "$file" "includes a header of $used/"
		done
	done
done <<< "$packages"

for package in */; do
	ls "$package"*.c > /dev/null 2>&1 || continue
	case ${package%/} in bench | fuzz | test) continue ;; esac
	[[ $packages == *$'\n'"${package%/}:"* ]] ||
	    complain "$package" "has no line in the list of packages"
done

for file in node/*.[ch]; do
	name=$(basename "$file")
	[[ $name != *.pb-c.* ]] || continue
	own=$(layer_of "$files$layers" "$name")
	[[ -n $own ]] || {
		complain "$file" "has no layer"
		continue
	}
	for used in $(sed -n 's|^#include "\([a-z_.-]*\)"$|\1|p' "$file"); do
		below=$(layer_of "$layers" "$used")
		[[ -n $below && $below -le $own ]] || complain "$file" \
		    "of layer $own includes $used of layer ${below:-none}"
	done
done
exit $bad
