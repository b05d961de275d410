# A short run of the fault soak in which the store comes back from a copy.
# Guards against revisions compared across restores: versions, and what targets
# and the operator write again, are dropped as older than what a node holds.
set -e
"${FLEET_BIN:-bin}/teaselsoak" --seed 1 --nodes 6 --every 250 --seconds 10 \
    --restores 3000 --program "${FLEET_BIN:-bin}/teaselside" --dir "$1"
