# Functions that start, query and stop whole deployments on loopback addresses,
# for the demo, the integration tests and the measurements.  Sourced by bash.
#
# Each VM of a set has an address of its own, 127.0.A.B, with a node and a
# target; the port numbers are the same on all VMs.

FLEET_BIN=${FLEET_BIN:-bin}
PLATFORM=127.0.0.1:7000
NODE_PORT=7400
CALLER_PORT=8080
SERVICE_PORT=8081
OPERATOR_PORT=9400
TARGET_PORT=6000
CONTROL_PORT=6001
FAULT_CONTROL=127.0.0.1:7001
# With FLEET_FAULT=1 nodes reach each other only through the fault proxy.

declare -A NODE_PID TARGET_PID VM_IP VM_DC VM_TARGET VM_SLOTS
FLEET_DIR=
PLATFORM_PID=
FAULT_PID=
VERSION=0

# Address of VM number N, from 0: vm_ip N.
vm_ip() {
	echo "127.0.$((1 + $1 / 200)).$((1 + $1 % 200))"
}

# Reads the VMs of a set into the VM_ arrays, at most FLEET_LIMIT of them.
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

# Addresses of up to four nodes, from the fourth VM every third, through which
# the others join.
fleet_peers() {
	local vm sep=
	for vm in $(printf '%s\n' "${!VM_IP[@]}" | sort | sed -n '4~3p' |
	    head -n 4); do
		printf '%s"%s:%s"' "$sep" "$(advertised "$vm")" "$NODE_PORT"
		sep=', '
	done
}

# Writes the settings of a VM's node, with the lines in FLEET_EXTRA:
# fleet_settings VM.
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

# Address at which other nodes reach a VM's node: the fault proxy's, if it runs.
advertised() {
	local ip=${VM_IP[$1]}
	if [[ -n ${FLEET_FAULT:-} ]]; then
		echo "127.1.${ip#127.0.}"
	else
		echo "$ip"
	fi
}

# Starts the fault proxy in front of all nodes.
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

# Starts a VM's node with new settings: node_start VM.
node_start() {
	fleet_settings "$1"
	"$FLEET_BIN/teaselnode" -c "$FLEET_DIR/$1.json" \
	    2>> "$FLEET_DIR/$1.log" &
	NODE_PID[$1]=$!
}

# Starts a VM's target: target_start VM.
target_start() {
	local ip=${VM_IP[$1]}
	"$FLEET_BIN/teaseltarget" -l "$ip:$TARGET_PORT" \
	    -c "$ip:$CONTROL_PORT" -n "${VM_TARGET[$1]}" \
	    -x "$ip:$SERVICE_PORT" -s "${VM_SLOTS[$1]}" -w "${FLEET_WORK:-2}" \
	    -m "${FLEET_WARM:-4000}" 2>> "$FLEET_DIR/$1.target.log" &
	TARGET_PID[$1]=$!
}

# Publishes a set under the next version number, its parts first and its head
# last: publish FILE [OPTION OF teaselctl pack ...].
publish() {
	local file=$1 keys=$FLEET_DIR/keys part
	shift
	VERSION=$((VERSION + 1))
	rm -rf "$keys"
	"$FLEET_BIN/teaselctl" pack "$@" --number "$VERSION" "$file" "$keys" \
	    > "$FLEET_DIR/packed" || return 1
	while read -r part; do
		# The time of the last key counts: readers see the set with
		# its head.
		PUBLISHED_AT=$(date +%s%3N)
		curl -sf -T "$keys/$part" "http://$PLATFORM/kv/$part" \
		    > /dev/null || return 1
	done < "$FLEET_DIR/packed"
	cp "$keys/teaselstep/head" "$FLEET_DIR/head"
}

# Publishes the VM list; the VMs given as arguments are listed as leaving.
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

# Sets the fault mode of the platform: fault none|down|stale|...
fault() {
	curl -sf -X POST "http://$PLATFORM/fault?mode=$1" > /dev/null
}

# Fails unless all addresses are free: two deployments on one machine would talk
# to each other.
check_addresses_free() {
	local taken=() addr
	for addr in "$PLATFORM" "${VM_IP[@]/%/:$NODE_PORT}" \
	    "${VM_IP[@]/%/:$CALLER_PORT}" "${VM_IP[@]/%/:$TARGET_PORT}"; do
		(: < "/dev/tcp/${addr/:/\/}") 2> /dev/null && taken+=("$addr")
	done
	[[ ${#taken[@]} == 0 ]] && return 0
	echo "another deployment runs here: somebody listens on ${taken[*]}" >&2
	return 1
}

# Starts the platform and waits at most 5 s until it answers.
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

# Starts a whole deployment of a set, with its files in DIR, and waits until all
# nodes are ready: fleet_up SET DIR.
fleet_up() {
	local set=$1 vm
	FLEET_SET=$1
	FLEET_DIR=$2
	mkdir -p "$FLEET_DIR"
	rm -f "$FLEET_DIR/fleet.key"
	"$FLEET_BIN/teaselctl" key "$FLEET_DIR/fleet.key"
	fleet_read "$set"
	check_addresses_free || return 1
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

# Value of a member of a node's status: status_of VM KEY.
status_of() {
	curl -sf "http://${VM_IP[$1]}:$OPERATOR_PORT/status" |
	    sed -n "s/.*\"$2\": \"\{0,1\}\([^,\"}]*\).*/\1/p"
}

# Waits at most 30 s per VM until a member of its status has a value:
# wait_status KEY VALUE VM...
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

# Waits until the nodes of the given VMs are ready.
wait_ready() {
	wait_status ready true "$@"
}

# Addresses of all VMs with a port, separated by commas: addresses PORT.
addresses() {
	local port=$1 vm out=
	for vm in "${!VM_IP[@]}"; do
		out+="${out:+,}${VM_IP[$vm]}:$port"
	done
	echo "$out"
}

# Operator addresses of all nodes, as options of teaselctl.
all_nodes() {
	local vm
	for vm in "${!VM_IP[@]}"; do
		printf -- '--node %s ' "${VM_IP[$vm]}"
	done
}

# VMs of a data centre, a line each: vms_of DATA_CENTRE.
vms_of() {
	local vm
	for vm in "${!VM_DC[@]}"; do
		[[ ${VM_DC[$vm]} == "$1" ]] && echo "$vm"
	done
	return 0
}

# Sends calls to all nodes: calls SECONDS RATE [OPTION ...].  Exits with 1 when
# an answer was wrong or lost, a request ran twice, or one refused as "not run"
# ran.
calls() {
	local t=$1 r=$2
	shift 2
	"$FLEET_BIN/teaselcalls" -e "$(addresses $CALLER_PORT)" \
	    -s "$FLEET_SET" -t "$t" -r "$r" \
	    --ledgers "$(addresses $CONTROL_PORT)" "$@"
}

# Sum of a counter of the targets of the given VMs: target_sum KEY VM...
target_sum() {
	local key=$1 vm
	shift
	for vm in "$@"; do
		curl -sf "http://${VM_IP[$vm]}:$CONTROL_PORT/stats" |
		    sed -n "s/.*\"$key\": \([0-9]*\).*/\1/p"
	done | awk '{ s += $1 } END { print s + 0 }'
}

# Sum of the metric teaselstep_NAME over all nodes: counter_sum NAME.
counter_sum() {
	local vm
	for vm in "${!NODE_PID[@]}"; do
		curl -sf "http://${VM_IP[$vm]}:$OPERATOR_PORT/metrics"
	done | awk -v name="teaselstep_$1" '$1 == name { s += $2 }
	    END { print s + 0 }'
}

# Kills every process that was started here, by its id; frozen ones first go on.
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
