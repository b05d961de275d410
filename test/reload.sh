# A node's settings change while calls go on: by a signal, by the file alone,
# refused ones, and ones that need a restart.  The node goes on all the while.
# A second deployment on the same addresses does not start, and says why.
. tools/fleet.sh
trap fleet_down EXIT
set -e

FLEET_WARM=0
fleet_up examples/tema.json "$1"
vm=vm-01
pid=${NODE_PID[$vm]}

# Waits for a line of the node's log that has all the given words.
logged() {
	local line word
	for _ in $(seq 100); do
		line=$(grep "event=$1" "$FLEET_DIR/$vm.log" | tail -n 1)
		for word in "${@:2}"; do
			[[ $line == *"$word"* ]] || line=
		done
		[[ -n $line ]] && return 0
		sleep 0.1
	done
	echo "no line $* in the log" >&2
	return 1
}

calls 12 50 > "$1/calls" &
load=$!
FLEET_EXTRA='"calls_max": 1900,'
fleet_settings $vm
kill -HUP "$pid"
logged settings-reloaded changed=calls_max
FLEET_EXTRA='"calls_max": 1800, "body_max": 4096,'
fleet_settings $vm
logged settings-reloaded changed=calls_max
logged settings-need-restart keys=body_max
FLEET_EXTRA='"calls_max": "many",'
fleet_settings $vm
logged settings-rejected "$vm.json"
grep -q "$vm.json:[0-9]*: .*calls_max" "$FLEET_DIR/$vm.log"
FLEET_EXTRA='"drain_ms": 30000,'
fleet_settings $vm
logged settings-reloaded drain_ms
kill -0 "$pid"
wait $load
cat "$1/calls"
grep -q '"calls": 600, "answered": 600,' "$1/calls"

(
	trap - EXIT
	! fleet_up examples/tema.json "$1/second" 2> "$1/second.err"
)
cat "$1/second.err"
grep -q "somebody listens on $PLATFORM" "$1/second.err"
# Nor does a node alone, and it names the address.
! "$FLEET_BIN/teaselnode" -c "$FLEET_DIR/$vm.json" 2> "$1/again.err"
grep -q "event=cannot-listen address=${VM_IP[$vm]}:$NODE_PORT" "$1/again.err"
