#!/usr/bin/env bash
# Runs a deployment under load, injects faults, alone, combined or repeatedly, and checks the
# invariants. Exit status 0 means that all of them held; broken connections are listed with their
# causes and do not fail the run.
set -euo pipefail
cd "$(dirname "$0")/.."

# All waits have limits. This limit ends a run in which a process hangs; five rounds of a pair of cases
# take about 4 minutes.
if [ -z "${FULMAR_FAILURE_TIMED:-}" ]; then
  FULMAR_FAILURE_TIMED=1 exec timeout --kill-after=20 420 "$0" "$@"
fi

CASES="kill pause zone-cut platform-cut platform-outage platform-slow lost-answers operator-race half-open lying-upstream loss delay copies planned"
SETTLE_SECONDS=8
# Seconds between the end of a fault and the next round or the end of the load.
RECOVER_SECONDS=8
LOSS_SHARE=0.02
# The maximum exceeds the 60 ms after which a balancer retransmits a request to an upstream, so that
# datagrams arrive after their retransmissions and out of order.
DELAY_SHARE=0.2 DELAY_MIN=1ms DELAY_MAX=150ms
COPY_SHARE=0.1
# Upstreams that the case planned drains, one per round. No other case uses them.
DRAINED=(1 2 3 14 15)
# First host number of the balancers that join.
JOIN_HOST=3

usage() {
  printf 'usage: %s --case NAME[,NAME] [--seed N] [--deployment D] [--repeat N] [--hold SECONDS] [--flows N] [--tail SECONDS] [--index N] [--save DIR]
  --tail   end the load that long after the last round, not after its longest time
  --index  use other addresses, so that runs of different indexes may go at once (0 to 4)
  --save   copy the files of the run and its row for a table of runs there
cases: %s\n' "$0" "$CASES"
}

deployment=hopkrans-hoeve seed=1 cases= repeat=1 hold=6 flows=600 tail= save=
while [ $# -gt 0 ]; do
  case $1 in
    --deployment) deployment=${2:-} ;;
    --seed) seed=${2:-} ;;
    --case) cases=${2:-} ;;
    --repeat) repeat=${2:-} ;;
    --hold) hold=${2:-} ;;
    --flows) flows=${2:-} ;;
    --tail) tail=${2:-} ;;
    --index) FULMAR_RUN_INDEX=${2:-} ;;
    --save) save=${2:-} ;;
    --help) usage; exit 0 ;;
    *) usage >&2; exit 2 ;;
  esac
  shift 2 || { usage >&2; exit 2; }
done
. scripts/cluster.sh
[[ $repeat =~ ^[1-5]$ ]] || bad_setting "--repeat $repeat: allowed: 1 to 5"
[[ $hold =~ ^[0-9]{1,2}$ ]] || bad_setting "--hold $hold: allowed: 0 to 99"
[[ $flows =~ ^[1-9][0-9]{0,4}$ ]] || bad_setting "--flows $flows: allowed: 1 to 99999"
[[ $tail =~ ^[0-9]{0,2}$ ]] || bad_setting "--tail $tail: allowed: 0 to 99"
[ -n "$cases" ] || bad_setting "--case: allowed: $CASES"
chosen=()
for name in ${cases//,/ }; do
  [[ " $CASES " == *" $name "* ]] || bad_setting "--case $name: allowed: $CASES"
  chosen+=("$name")
done
cluster_init "$deployment" "$seed"

first_service=${SERVICES[0]%%=*}
declare -A victim=() # case to the target of its fault in this round

# pick_daemon CASE: chooses a random running balancer as the target of a case; the seed determines it.
pick_daemon() {
  local up=() name
  for name in "${DAEMONS[@]}"; do [ -n "${DAEMON_UP[$name]:-}" ] && up+=("$name"); done
  victim[$1]=${up[RANDOM % ${#up[@]}]}
}

# command_any TEXT...: runs an operator's command and records its outcome without a check.
command_any() {
  local status=0 out
  out=$(control command "$@" 2>&1) || status=$?
  mark info "command $* ended with status $status: $(tr '\n\t' '  ' <<<"$out" | cut -c1-120)"
}

begin_kill() { pick_daemon kill; mark fault "kill ${victim[kill]}"; kill_daemon "${victim[kill]}"; }
end_kill() { mark info "restart ${victim[kill]}"; restart_daemon "${victim[kill]}"; }

begin_pause() { pick_daemon pause; mark fault "pause ${victim[pause]}"; pause_daemon "${victim[pause]}"; }
end_pause() { mark info "resume ${victim[pause]}"; resume_daemon "${victim[pause]}"; }

begin_zone-cut() {
  local a=$((RANDOM % ${#ZONES[@]} + 1))
  victim[zone-cut]="$a $((a % ${#ZONES[@]} + 1))"
  mark fault "cut zones ${victim[zone-cut]}"
  fabric_cut ${victim[zone-cut]}
}
end_zone-cut() { mark info "heal zones ${victim[zone-cut]}"; fabric_heal ${victim[zone-cut]}; }

begin_platform-cut() {
  victim[platform-cut]=$((RANDOM % ${#ZONES[@]} + 1))
  mark fault "cut zone ${victim[platform-cut]} from the platform"
  fabric_cut "${victim[platform-cut]}" 99
}
end_platform-cut() { mark info "heal the platform's cut"; fabric_heal "${victim[platform-cut]}" 99; }

begin_platform-outage() {
  mark fault "platform outage"
  platform_fault outage true
  command_any drain upstream "$first_service-4"
}
end_platform-outage() { mark info "end of the outage"; platform_fault outage false; }

begin_platform-slow() {
  mark fault "platform slow by 3 s"
  platform_fault delay_ns 3000000000
  command_any drain upstream "$first_service-5"
}
end_platform-slow() { mark info "platform fast"; platform_fault delay_ns 0; }

begin_lost-answers() {
  mark fault "answers to the next 2 writes of the platform are lost"
  platform_fault lose_next 2
  command_any drain upstream "$first_service-6"
  command_any undrain upstream "$first_service-6"
}
end_lost-answers() { platform_fault lose_next 0; }

begin_operator-race() {
  mark fault "two operators at once"
  command_any drain upstream "$first_service-7" &
  local other=$!
  command_any drain upstream "$first_service-8"
  wait "$other"
}
end_operator-race() { command_any undrain upstream "$first_service-7"; }

begin_half-open() {
  mark fault "5 % of the open flows go silent towards upstreams"
  post "http://$FABRIC_ADMIN/blackhole?share=0.05&hop=upstream&seed=$RANDOM"
}
end_half-open() { mark info "half-open flows stay silent"; }

begin_lying-upstream() {
  victim[lying-upstream]=$first_service-$((RANDOM % 4 + 9))
  mark fault "${victim[lying-upstream]} reports that it is idle, $first_service-13 a frozen load"
  upstream_fault "${victim[lying-upstream]}" lie on=true
  upstream_fault "$first_service-13" freeze on=true
}
end_lying-upstream() {
  mark info "${victim[lying-upstream]} reports the truth"
  upstream_fault "${victim[lying-upstream]}" lie on=false
  upstream_fault "$first_service-13" freeze on=false
}

begin_loss() { mark fault "loss of $LOSS_SHARE of the datagrams"; fabric_fault loss "share=$LOSS_SHARE"; }
end_loss() { mark info "no more loss"; fabric_fault loss share=0; }

begin_delay() {
  mark fault "$DELAY_SHARE of the datagrams late by $DELAY_MIN to $DELAY_MAX"
  fabric_fault delay "share=$DELAY_SHARE&min=$DELAY_MIN&max=$DELAY_MAX"
}
end_delay() { mark info "no more delay"; fabric_fault delay "share=0&max=0s"; }

begin_copies() { mark fault "copies of $COPY_SHARE of the datagrams"; fabric_fault duplicate "share=$COPY_SHARE"; }
end_copies() { mark info "no more copies"; fabric_fault duplicate share=0; }

# A drained upstream stays drained. A drain counts as a planned change only if it was committed; with a
# fault of the platform its outcome may be refused or unknown.
begin_planned() {
  local name=$first_service-${DRAINED[round]} status=0
  control command drain upstream "$name" >>"$RUN_DIR/log/drain.log" 2>&1 || status=$?
  if [ "$status" -eq 0 ]; then mark planned "drain $name"; else mark info "draining $name ended with status $status"; fi
  pick_daemon planned
  mark planned "stop ${victim[planned]}"
  stop_daemon "${victim[planned]}"
  mark info "${victim[planned]} has ended"
}
end_planned() {
  local zone=$((round % ${#ZONES[@]}))
  local name=${ZONES[zone]}-$((JOIN_HOST + round))
  mark planned "add $name"
  add_daemon "$name" $((zone + 1)) $((JOIN_HOST + round))
}

say "$deployment: ${chosen[*]}, $repeat times, seed $seed"
cluster_start
# A case may take several seconds to begin or end; the load lasts until all cases have ended.
start_load $((SETTLE_SECONDS + repeat * (hold + RECOVER_SECONDS + 8 * ${#chosen[@]}) + RECOVER_SECONDS)) "$flows" --ramp 4s
sleep "$SETTLE_SECONDS"
snapshot_flows flows-steady.json
for ((round = 0; round < repeat; round++)); do
  for name in "${chosen[@]}"; do "begin_$name"; done
  sleep "$hold"
  for name in "${chosen[@]}"; do "end_$name"; done
  sleep "$RECOVER_SECONDS"
done
snapshot_flows flows-end.json
if [ -n "$tail" ]; then
  sleep "$tail"
  end_load
fi
wait_load
collect
if [ -n "$save" ]; then
  mkdir -p "$save"
  cp -r "$RUN_DIR"/{log,daemon,upstream,*.json,*.tsv,*.txt} "$save"/
  bin/loadgen --summarize "$RUN_DIR" --row >"$save/row" 2>/dev/null || true # the summary below determines the exit status
fi
bin/loadgen --summarize "$RUN_DIR" --list-phases --list-broken
