# A short run of the fault soak: processes of teaselside, faults from outside.
# What callers and targets see is judged; nothing of it depends on time.
set -e
"${FLEET_BIN:-bin}/teaselsoak" --seed 1 --nodes 6 --every 150 --seconds 10 \
    --program "${FLEET_BIN:-bin}/teaselside" --dir "$1"
