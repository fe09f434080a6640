#!/usr/bin/env bash
# Runs a deployment for about a minute with planned changes and a kill of one balancer, and prints the
# results that callers saw. Exit status 0 means that every invariant held.
set -euo pipefail
cd "$(dirname "$0")/.."

# Limits the demo to two minutes even if a process hangs.
if [ -z "${FULMAR_DEMO_TIMED:-}" ]; then
  FULMAR_DEMO_TIMED=1 exec timeout --kill-after=8 110 "$0" "$@"
fi

LOAD_SECONDS=45
FLOWS=1000

usage() { printf 'usage: %s [--deployment hopkrans-hoeve|kelpiestone-engraving] [--seed N]\n' "$0"; }

deployment=hopkrans-hoeve seed=1
while [ $# -gt 0 ]; do
  case $1 in
    --deployment) deployment=${2:-}; shift 2 || true ;;
    --seed) seed=${2:-}; shift 2 || true ;;
    --help) usage; exit 0 ;;
    *) usage >&2; exit 2 ;;
  esac
done
. scripts/cluster.sh
cluster_init "$deployment" "$seed"

# at SECONDS: waits until SECONDS after the start of the load.
at() {
  local left=$(($1 - (SECONDS - load_start)))
  ((left <= 0)) || sleep "$left"
}

# The names depend on the deployment; their positions in the declaration are the same.
first_service=${SERVICES[0]%%=*}
drained=$first_service-3
joining=${ZONES[1]}-3
leaving=${DAEMONS[1]}
killed=${DAEMONS[3]}

say "$deployment: ${#DAEMONS[@]} balancers, ${#UPSTREAMS[@]} upstreams, seed $seed"
cluster_start
say "everything is up and the declaration is in force"
start_load "$LOAD_SECONDS" "$FLOWS" --ramp 5s --think 3s
load_start=$SECONDS
at 8
snapshot_flows flows-steady.json
control command drain upstream "$drained"
mark planned "drain $drained"
at 14
mark planned "add $joining"
add_daemon "$joining" 2 3
at 20
mark planned "stop $leaving"
stop_daemon "$leaving"
mark info "$leaving has ended"
at 35
mark fault "kill $killed"
kill_daemon "$killed"
at 44
snapshot_flows flows-end.json
wait_load
collect
say "load ended; what callers, upstreams and balancers report:"
bin/loadgen --summarize "$RUN_DIR" --list-phases
