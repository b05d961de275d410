# Settings are reloaded under load: on SIGHUP, on a change of the file, invalid
# ones, and ones that need a restart.  The node must keep running and answer all
# calls.  A second deployment on the same addresses must fail to start and name
# them.
. tools/fleet.sh
trap fleet_down EXIT
set -e

FLEET_WARM=0
fleet_up examples/tema.json "$1"
vm=vm-01
pid=${NODE_PID[$vm]}

# Waits at most 10 s for the last line of an event to hold all the given words:
# wait_logged EVENT [WORD ...].
wait_logged() {
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
wait_logged settings-reloaded changed=calls_max
FLEET_EXTRA='"calls_max": 1800, "body_max": 4096,'
fleet_settings $vm
wait_logged settings-reloaded changed=calls_max
wait_logged settings-need-restart keys=body_max
FLEET_EXTRA='"calls_max": "many",'
fleet_settings $vm
wait_logged settings-rejected "$vm.json"
grep -q "$vm.json:[0-9]*: .*calls_max" "$FLEET_DIR/$vm.log"
FLEET_EXTRA='"drain_ms": 30000,'
fleet_settings $vm
wait_logged settings-reloaded drain_ms
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
# Nor does a single node, and its log names the address.
! "$FLEET_BIN/teaselnode" -c "$FLEET_DIR/$vm.json" 2> "$1/again.err"
grep -q "event=cannot-listen address=${VM_IP[$vm]}:$NODE_PORT" "$1/again.err"
