# A short run of the fault soak: teaselside processes under injected faults.
# The verdict comes from what callers and targets saw, not from timing.
set -e
"${FLEET_BIN:-bin}/teaselsoak" --seed 1 --nodes 6 --every 150 --seconds 10 \
    --program "${FLEET_BIN:-bin}/teaselside" --dir "$1"
