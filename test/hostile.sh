# Hostile callers: slow, malformed and oversized requests.  Each is refused with
# the right code or disconnected, and all other callers are answered.
. tools/fleet.sh
trap fleet_down EXIT
set -e

FLEET_WARM=0
fleet_up examples/tema.json "$1"
ip=${VM_IP[vm-01]}
url="http://$ip:$CALLER_PORT"
# Sends standard input to the callers' port; prints the first line of the reply.
send_raw() {
	timeout 5 bash -c "exec 3<>/dev/tcp/$ip/$CALLER_PORT; cat >&3; head -n 1 <&3"
}
calls 6 60 > "$1/calls" &
load=$!
# Two hundred connections that stay open and send nothing.
for _ in $(seq 200); do
	sleep 20 > "/dev/tcp/$ip/$CALLER_PORT" &
	slow+=($!)
done 2> /dev/null
printf 'NONSENSE\r\n\r\n' | send_raw | tee "$1/out" || true
printf 'GET /logs/%s HTTP/1.1\r\nHost: x\r\n\r\n' "$(head -c 60000 /dev/zero | tr '\0' a)" |
    send_raw | tee -a "$1/out" || true
{ printf 'GET / HTTP/1.1\r\n'; for i in $(seq 3000); do printf 'H%s: %s\r\n' $i $i; done; printf '\r\n'; } |
    send_raw | tee -a "$1/out" || true
head -c 3000000 /dev/zero > "$1/big"
curl -s -X PUT --data-binary "@$1/big" "$url/logs/1" | tee -a "$1/out"
grep -q '"code": "body_too_large", "ran": "not_run"' "$1/out"
curl -s -X POST -H 'X-Request-Id: not-a-uuid' -d x "$url/orders" | tee -a "$1/out"
grep -q '"code": "bad_request", "ran": "not_run"' "$1/out"
curl -s -X PUT -H 'X-Deadline-Ms: 0' -d x "$url/logs/1" | tee -a "$1/out"
grep -q '"code": "deadline", "ran": "not_run"' "$1/out"
curl -s -X PUT -H 'X-Deadline-Ms: -99999999999999999999' -d x "$url/logs/1" > /dev/null
curl -s -X PUT -H 'X-Request-Id: 0195d1c0-0000-7000-8000-000000000000' -d x "$url/logs/1" |
    grep -q x
# The id was created before the guard's memory begins, on an at-most-once route:
# whether the request has run is unknown.
curl -s -X POST -H 'X-Request-Id: 0195d1c0-0000-7000-8000-000000000000' -d x \
    "$url/orders" | tee -a "$1/out"
grep -q '"code": "outcome_unknown", "ran": "unknown"' "$1/out"
wait $load
cat "$1/calls"
kill "${slow[@]}" 2> /dev/null || true
grep -q '"calls": 360, "answered": 360,' "$1/calls"
kill -0 "${NODE_PID[vm-01]}"
