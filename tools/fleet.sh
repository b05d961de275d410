# Starts and stops whole deployments on the loopback range, for the demo, the
# integration tests and the measurements.  To be sourced by bash.
#
# Each VM of a set has an address of its own, 127.0.A.B; its node, its target
# and their ports are the same on all.

FLEET_BIN=${FLEET_BIN:-bin}
PLATFORM=127.0.0.1:7000
NODE_PORT=7400
CALLER_PORT=8080
SERVICE_PORT=8081
OPERATOR_PORT=9400
TARGET_PORT=6000
CONTROL_PORT=6001
FAULT_CONTROL=127.0.0.1:7001
# With FLEET_FAULT=1 nodes reach each other through the fault proxy only.

declare -A NODE_PID TARGET_PID VM_IP VM_DC VM_TARGET VM_SLOTS
FLEET_DIR=
PLATFORM_PID=
FAULT_PID=
VERSION=0

# Address of the n-th VM.
vm_ip() {
	echo "127.0.$((1 + $1 / 200)).$((1 + $1 % 200))"
}

# Reads the VMs of a set.
fleet_read() {
	local n=0 vm dc target service slots state
	while IFS=$'\t' read -r vm dc target service slots state; do
		VM_IP[$vm]=$(vm_ip $n)
		VM_DC[$vm]=$dc
		VM_TARGET[$vm]=$target
		VM_SLOTS[$vm]=$slots
		n=$((n + 1))
		[[ $n -lt ${FLEET_LIMIT:-100000} ]] || break
	done < <("$FLEET_BIN/teaselctl" list "$1")
}

# Some nodes by whose addresses the others may join: every third of the first.
fleet_peers() {
	local vm sep=
	for vm in $(printf '%s\n' "${!VM_IP[@]}" | sort | sed -n '4~3p' |
	    head -n 4); do
		printf '%s"%s:%s"' "$sep" "$(advertised "$vm")" "$NODE_PORT"
		sep=', '
	done
}

# Writes the settings of a VM's node; further lines may be given.
fleet_settings() {
	local vm=$1 ip=${VM_IP[$1]}
	cat > "$FLEET_DIR/$vm.json" <<JSON
{
	"name": "$vm",
	"data_centre": "${VM_DC[$vm]}",
	"listen": "$ip:$NODE_PORT",
	"advertise": "$(advertised "$vm"):$NODE_PORT",
	"callers": "$ip:$CALLER_PORT",
	"services": "$ip:$SERVICE_PORT",
	"operators": "$ip:$OPERATOR_PORT",
	"target": "$ip:$TARGET_PORT",
	"platform": "$PLATFORM",
		"key_file": "$FLEET_DIR/fleet.key",
	"peers": [$(fleet_peers)],
	${FLEET_EXTRA:-}
	${FLEET_RECORD:+"\"record\": \"$FLEET_DIR/$vm.trace\","}
	"start_spread_ms": ${FLEET_SPREAD:-200}
}
JSON
}

# Address by which other nodes reach a VM's node.
advertised() {
	local ip=${VM_IP[$1]}
	if [[ -n ${FLEET_FAULT:-} ]]; then
		echo "127.1.${ip#127.0.}"
	else
		echo "$ip"
	fi
}

# Starts the fault proxy before all nodes.
fault_start() {
	local vm sep=
	{
		echo '{"seed": 1, "nodes": ['
		for vm in "${!VM_IP[@]}"; do
			printf '%s{"name": "%s", "group": "%s", ' "$sep" \
			    "$vm" "${VM_DC[$vm]}"
			printf '"listen": "%s:%s", "forward": "%s:%s"}\n' \
			    "$(advertised "$vm")" "$NODE_PORT" \
			    "${VM_IP[$vm]}" "$NODE_PORT"
			sep=,
		done
		echo ']}'
	} > "$FLEET_DIR/fault.json"
	"$FLEET_BIN/teaselfault" -s "$FLEET_DIR/fault.json" \
	    -c "$FAULT_CONTROL" 2>> "$FLEET_DIR/fault.log" &
	FAULT_PID=$!
	sleep 0.2
}

# Injects a fault between nodes: inject KIND [FROM [TO [VALUE]]].
inject() {
	curl -sf -X POST \
	    "http://$FAULT_CONTROL/fault?do=$1&from=${2:-*}&to=${3:-*}&value=${4:-0}" \
	    > /dev/null
}

node_start() {
	fleet_settings "$1"
	"$FLEET_BIN/teaselnode" -c "$FLEET_DIR/$1.json" \
	    2>> "$FLEET_DIR/$1.log" &
	NODE_PID[$1]=$!
}

target_start() {
	local ip=${VM_IP[$1]}
	"$FLEET_BIN/teaseltarget" -l "$ip:$TARGET_PORT" \
	    -c "$ip:$CONTROL_PORT" -n "${VM_TARGET[$1]}" \
	    -x "$ip:$SERVICE_PORT" -s "${VM_SLOTS[$1]}" -w "${FLEET_WORK:-2}" \
	    -m "${FLEET_WARM:-4000}" 2>> "$FLEET_DIR/$1.target.log" &
	TARGET_PID[$1]=$!
}

# Publishes a set: its parts first, its head last.  Options go to pack.
publish() {
	local file=$1 keys=$FLEET_DIR/keys part
	shift
	VERSION=$((VERSION + 1))
	rm -rf "$keys"
	"$FLEET_BIN/teaselctl" pack "$@" --number "$VERSION" "$file" "$keys" \
	    > "$FLEET_DIR/packed" || return 1
	while read -r part; do
		# The head comes last: from here on the set can be seen.
		PUBLISHED_AT=$(date +%s%3N)
		curl -sf -T "$keys/$part" "http://$PLATFORM/kv/$part" \
		    > /dev/null || return 1
	done < "$FLEET_DIR/packed"
	cp "$keys/teaselstep/head" "$FLEET_DIR/head"
}

# Publishes the VM list; VMs named as arguments are leaving.
publish_vms() {
	local vm state sep=
	{
		echo '{"vms": ['
		for vm in "${!VM_IP[@]}"; do
			state=live
			[[ " $* " == *" $vm "* ]] && state=leaving
			printf '%s{"vm": "%s", "data_centre": "%s", ' "$sep" \
			    "$vm" "${VM_DC[$vm]}"
			printf '"node": "%s:%s", "state": "%s"}\n' \
			    "$(advertised "$vm")" "$NODE_PORT" "$state"
			sep=,
		done
		echo ']}'
	} > "$FLEET_DIR/vms.json"
	curl -sf -T "$FLEET_DIR/vms.json" "http://$PLATFORM/kv/vms" > /dev/null
}

# Makes the platform misbehave, or not: fault none|down|stale|...
fault() {
	curl -sf -X POST "http://$PLATFORM/fault?mode=$1" > /dev/null
}

# Two deployments on one machine would mix, so the addresses must be free.
fleet_alone() {
	local taken=() addr
	for addr in "$PLATFORM" "${VM_IP[@]/%/:$NODE_PORT}" \
	    "${VM_IP[@]/%/:$CALLER_PORT}" "${VM_IP[@]/%/:$TARGET_PORT}"; do
		(: < "/dev/tcp/${addr/:/\/}") 2> /dev/null && taken+=("$addr")
	done
	[[ ${#taken[@]} == 0 ]] && return 0
	echo "another deployment runs here: somebody listens on ${taken[*]}" >&2
	return 1
}

platform_start() {
	"$FLEET_BIN/teaselplatform" -l "$PLATFORM" \
	    2>> "$FLEET_DIR/platform.log" &
	PLATFORM_PID=$!
	for _ in $(seq 100); do
		curl -sf "http://$PLATFORM/count" > /dev/null && return 0
		sleep 0.05
	done
	return 1
}

# Starts a whole deployment of a set in a folder.
fleet_up() {
	local set=$1 vm
	FLEET_SET=$1
	FLEET_DIR=$2
	mkdir -p "$FLEET_DIR"
	rm -f "$FLEET_DIR/fleet.key"
	"$FLEET_BIN/teaselctl" key "$FLEET_DIR/fleet.key"
	fleet_read "$set"
	fleet_alone || return 1
	platform_start || return 1
	[[ -z ${FLEET_FAULT:-} ]] || fault_start
	publish_vms
	publish "$set" || return 1
	for vm in "${!VM_IP[@]}"; do
		[[ -n ${FLEET_NO_TARGETS:-} ]] || target_start "$vm"
		node_start "$vm"
	done
	wait_ready "${!VM_IP[@]}"
}

# Value of a member of a node's status.
status_of() {
	curl -sf "http://${VM_IP[$1]}:$OPERATOR_PORT/status" |
	    sed -n "s/.*\"$2\": \"\{0,1\}\([^,\"}]*\).*/\1/p"
}

# Waits, for at most 30 s, until a member of the status has a value on VMs.
wait_status() {
	local key=$1 want=$2 vm
	shift 2
	for vm in "$@"; do
		for _ in $(seq 600); do
			[[ $(status_of "$vm" "$key") == "$want" ]] && break
			sleep 0.05
		done
		[[ $(status_of "$vm" "$key") == "$want" ]] || {
			echo "$vm: $key is \"$(status_of "$vm" "$key")\", not \"$want\"" >&2
			return 1
		}
	done
}

wait_ready() {
	wait_status ready true "$@"
}

# Comma-separated addresses of all VMs at a port.
addresses() {
	local port=$1 vm out=
	for vm in "${!VM_IP[@]}"; do
		out+="${out:+,}${VM_IP[$vm]}:$port"
	done
	echo "$out"
}

# Operators' addresses of all nodes, as options of teaselctl.
all_nodes() {
	local vm
	for vm in "${!VM_IP[@]}"; do
		printf -- '--node %s ' "${VM_IP[$vm]}"
	done
}

# VMs of a data centre.
vms_of() {
	local vm
	for vm in "${!VM_DC[@]}"; do
		[[ ${VM_DC[$vm]} == "$1" ]] && echo "$vm"
	done
	return 0
}

# Sends calls to all nodes: calls SECONDS RATE [OPTION ...]; exit 1 when an
# answer was wrong, or a call lost, doubled, or "not run" though it ran.
calls() {
	local t=$1 r=$2
	shift 2
	"$FLEET_BIN/teaselcalls" -e "$(addresses $CALLER_PORT)" \
	    -s "$FLEET_SET" -t "$t" -r "$r" \
	    --ledgers "$(addresses $CONTROL_PORT)" "$@"
}

# Sum of a member of the stats of some VMs' targets: target_sum KEY VM...
target_sum() {
	local key=$1 vm
	shift
	for vm in "$@"; do
		curl -sf "http://${VM_IP[$vm]}:$CONTROL_PORT/stats" |
		    sed -n "s/.*\"$key\": \([0-9]*\).*/\1/p"
	done | awk '{ s += $1 } END { print s + 0 }'
}

# Sum of a counter over all nodes.
counter_sum() {
	local vm
	for vm in "${!NODE_PID[@]}"; do
		curl -sf "http://${VM_IP[$vm]}:$OPERATOR_PORT/metrics"
	done | awk -v name="teaselstep_$1" '$1 == name { s += $2 }
	    END { print s + 0 }'
}

# Ends every process that was started here, by its id.
fleet_down() {
	local pid
	set +e
	for pid in "${NODE_PID[@]}" "${TARGET_PID[@]}" $PLATFORM_PID $FAULT_PID; do
		kill -CONT "$pid" 2> /dev/null
		kill -KILL "$pid" 2> /dev/null
		wait "$pid" 2> /dev/null
	done
	NODE_PID=()
	TARGET_PID=()
	PLATFORM_PID=
	FAULT_PID=
}
