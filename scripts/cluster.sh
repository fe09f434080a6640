# Functions that start and stop the processes of a deployment on one machine. Sourced by
# demo.sh and failure-run.sh from the root of the repository, after `make build`.
#
# cluster_init must be called first. At exit all started processes are stopped by process id. Files
# of the run are in $RUN_DIR.
# shellcheck shell=bash
set -euo pipefail

# Runs with different indexes use different addresses and may run concurrently. ZONES_PER_INDEX times
# the index is added to the third octet of the addresses of VMs, services and callers. The index itself
# is added to the host number of the fabric's admin address and of the platform, whose third octet stays
# because the fabric identifies the platform's zone by it.
MAX_INDEX=4
ZONES_PER_INDEX=10
INDEX=${FULMAR_RUN_INDEX:-0}
# Seconds after which routes to a killed or paused balancer are withdrawn.
WITHDRAW_SECONDS=1
# Highest host number of the balancers in each zone that the fabric relays for.
MAX_DAEMON_HOST=9
# Longer than the hand-over of a leaving balancer, which takes at most 10 s.
STOP_SECONDS=15
# Mean service time of each upstream.
MEAN_SERVICE=8ms

declare -A PIDS=()          # process name to process id
declare -A DAEMON_ZONE=() DAEMON_HOST=() DAEMON_UP=()
declare -A UPSTREAM_IP=()
declare -A PLATFORM_FAULTS=() WITHDRAWALS=()
DAEMONS=() UPSTREAMS=() SERVICES=() ZONES=()
RUN_DIR=

say() { printf '%s %s\n' "$(date +%T)" "$*"; }
fail() { printf 'error: %s\n' "$*" >&2; exit 1; }
bad_setting() { printf 'bad setting: %s\n' "$*" >&2; exit 2; }

# mark KIND TEXT: records an event for the summary. KIND is planned, fault or info.
mark() {
  printf '%s\t%s\t%s\n' "$(date +%s%3N)" "$1" "$2" >>"$RUN_DIR/events.tsv"
  say "$1: $2"
}

post() { curl -sS -f -m 5 -X POST "$1" >/dev/null; }

# cluster_init DEPLOYMENT SEED: reads the declaration and makes the run directory.
cluster_init() {
  DEPLOYMENT=$1 SEED=$2
  DECLARATION=deployments/$DEPLOYMENT.yaml
  [ -f "$DECLARATION" ] || bad_setting "--deployment $DEPLOYMENT: allowed: hopkrans-hoeve, kelpiestone-engraving"
  [[ $SEED =~ ^[0-9]{1,9}$ ]] || bad_setting "--seed $SEED: allowed: a number of up to 9 digits"
  set_addresses
  local program
  for program in fulmar-balancer fulmarctl standin-platform standin-fabric standin-upstream loadgen; do
    [ -x "bin/$program" ] || fail "bin/$program is missing: run make build first"
  done
  # Two runs of the same index would bind the same addresses.
  exec 9>"${TMPDIR:-/tmp}/fulmarfield$([ "$INDEX" -eq 0 ] || printf -- '-%s' "$INDEX").lock"
  flock -n 9 || fail "another run of these scripts uses the addresses of index $INDEX"
  RUN_DIR=$(mktemp -d "${TMPDIR:-/tmp}/fulmarfield.XXXXXX")
  mkdir -p "$RUN_DIR"/{log,upstream,daemon}
  trap cluster_exit EXIT
  trap 'exit 130' INT
  trap 'exit 143' TERM
  touch "$RUN_DIR/events.tsv"
  (umask 077; head -c 32 /dev/urandom | od -An -v -tx1 | tr -d ' \n' >"$RUN_DIR/key")
  RANDOM=$SEED
  move_declaration
  read_declaration
}

# set_addresses derives the addresses of the run from its index.
set_addresses() {
  [[ $INDEX =~ ^[0-9]$ ]] && ((INDEX <= MAX_INDEX)) || bad_setting "FULMAR_RUN_INDEX=$INDEX: allowed: 0 to $MAX_INDEX"
  ZONE_BASE=$((INDEX * ZONES_PER_INDEX))
  FABRIC_ADMIN=127.0.0.$((INDEX + 1)):7200
  PLATFORM_BIND=127.0.99.$((INDEX + 1)):7100
  PLATFORM_REACH=127.1.99.$((INDEX + 1)):7100
  CALLER_NETWORK=127.9.$((ZONE_BASE + 1)).1
}

# move_declaration copies the declaration into the run's directory and replaces its addresses by those
# of the run's index.
move_declaration() {
  local moved=$RUN_DIR/$DEPLOYMENT.yaml zone
  cp "$DECLARATION" "$moved"
  for ((zone = ZONES_PER_INDEX - 1; zone >= 1; zone--)); do
    sed -i -E "s/(address: \"?127\\.[12]\\.)$zone(\\.[0-9]+)/\1$((ZONE_BASE + zone))\2/" "$moved"
  done
  DECLARATION=$moved
}

# flow_field LINE NAME: value of a field of a YAML flow mapping on one line.
flow_field() { sed -n "s/.*[{ ]$2: *\"\{0,1\}\([^,}\"]*\)\"\{0,1\} *[,}].*/\1/p" <<<"$1"; }

# read_declaration fills the lists of daemons, upstreams, services and zones. It supports only the
# layout of the files in deployments/.
read_declaration() {
  local section= line name
  while IFS= read -r line; do
    case $line in
      zones:*) section=zones ;; daemons:*) section=daemons ;; services:*) section=services ;; upstreams:*) section=upstreams ;;
      [a-z]*) section= ;;
    esac
    case $section:$line in
      zones:*"- "*) ZONES+=("${line##*- }") ;;
      services:*"name: "*) name=${line##*name: } ;;
      services:*"address: "*) SERVICES+=("$name=${line##*address: }") ;;
      daemons:*"- {"*) read_daemon "$line" ;;
      upstreams:*"- {"*) read_upstream "$line" ;;
    esac
  done <"$DECLARATION"
  [ ${#DAEMONS[@]} -gt 0 ] && [ ${#UPSTREAMS[@]} -gt 0 ] && [ ${#SERVICES[@]} -gt 0 ] ||
    fail "$DECLARATION: no daemons, services or upstreams found"
}

read_daemon() {
  local name ip
  name=$(flow_field "$1" name)
  ip=$(flow_field "$1" address)
  DAEMONS+=("$name")
  DAEMON_ZONE[$name]=$(($(cut -d. -f3 <<<"$ip") - ZONE_BASE))
  DAEMON_HOST[$name]=$(cut -d. -f4 <<<"$ip")
}

# read_upstream LINE: adds an upstream as NAME SERVICE IP SLOTS, with the IP that it binds.
read_upstream() {
  local name address
  name=$(flow_field "$1" name)
  address=$(flow_field "$1" address)
  UPSTREAM_IP[$name]=127.0.${address#127.1.}
  UPSTREAM_IP[$name]=${UPSTREAM_IP[$name]%:*}
  UPSTREAMS+=("$name $(flow_field "$1" service) ${UPSTREAM_IP[$name]} $(flow_field "$1" slots)")
  printf '%s\n' "$name" >>"$RUN_DIR/upstreams.txt"
}

# start NAME COMMAND...: starts a process in the background and records its id.
start() {
  local name=$1
  shift
  "$@" >>"$RUN_DIR/log/$name.log" 2>&1 9>&- &
  PIDS[$name]=$!
  printf '%s\n' "${PIDS[$name]}" >"$RUN_DIR/$name.pid"
}

running() { [ -n "${PIDS[$1]:-}" ] && kill -0 "${PIDS[$1]}" 2>/dev/null; }

# stop NAME [SECONDS]: sends SIGTERM, and SIGKILL if the process has not ended after SECONDS.
stop() {
  local name=$1 tenths=$((${2:-5} * 10))
  running "$name" || { unset "PIDS[$name]"; return 0; }
  kill -TERM "${PIDS[$name]}" 2>/dev/null || true
  while running "$name" && ((tenths-- > 0)); do sleep 0.1; done
  if running "$name"; then
    say "$name did not end by itself"
    kill -KILL "${PIDS[$name]}" 2>/dev/null || true
  fi
  wait "${PIDS[$name]}" 2>/dev/null || true
  unset "PIDS[$name]"
}

# cluster_exit stops all remaining processes, including paused ones.
cluster_exit() {
  local status=$? name
  trap '' INT TERM
  for name in "${!PIDS[@]}"; do
    kill -CONT "${PIDS[$name]}" 2>/dev/null || true
    kill -TERM "${PIDS[$name]}" 2>/dev/null || true
  done
  for name in "${!PIDS[@]}"; do stop "$name" 3; done
  if [ -n "$RUN_DIR" ]; then
    if [ "$status" -eq 0 ] && [ -z "${KEEP_RUN:-}" ]; then rm -rf "$RUN_DIR"; else printf 'files of the run: %s\n' "$RUN_DIR"; fi
  fi
  exit "$status"
}

# wait_for SECONDS WHAT COMMAND...: repeats the command until it succeeds.
wait_for() {
  local tenths=$(($1 * 10)) what=$2
  shift 2
  until "$@" >/dev/null 2>&1; do
    ((tenths-- > 0)) || fail "$what: not there in time; see $RUN_DIR/log"
    sleep 0.1
  done
}

start_stand_ins() {
  local args=() zone entry name service ip slots n=0
  start platform bin/standin-platform --listen "$PLATFORM_BIND" --deployment "$DECLARATION"
  for entry in "${SERVICES[@]}"; do args+=(--service "${entry#*=}"); done
  for zone in "${!ZONES[@]}"; do args+=(--vm "127.0.$((ZONE_BASE + zone + 1)).1-$MAX_DAEMON_HOST"); done
  for name in "${!UPSTREAM_IP[@]}"; do args+=(--vm "${UPSTREAM_IP[$name]}"); done
  start fabric bin/standin-fabric --vm "${PLATFORM_BIND%:*}" "${args[@]}" --admin-address "$FABRIC_ADMIN" --seed "$SEED"
  for entry in "${UPSTREAMS[@]}"; do
    read -r name service ip slots <<<"$entry"
    start "$name" bin/standin-upstream --name "$name" --address "$ip:9000" --admin-address "$ip:9001" --slots "$slots" \
      --service-address "$(service_address "$service")" --seed $((SEED + ++n)) --mean-service "$MEAN_SERVICE" \
      --report "$RUN_DIR/upstream/$name.json"
  done
  wait_for 5 fabric curl -sf "http://$FABRIC_ADMIN/state"
  wait_for 5 platform curl -sf "http://$PLATFORM_BIND/admin/faults"
  for name in "${!UPSTREAM_IP[@]}"; do wait_for 5 "$name" curl -sf "http://${UPSTREAM_IP[$name]}:9001/report"; done
}

service_address() {
  local entry
  for entry in "${SERVICES[@]}"; do [ "${entry%%=*}" = "$1" ] && printf '%s' "${entry#*=}"; done
  return 0
}

# start_daemon NAME: starts a balancer and registers it as a VM. It receives no datagrams of callers
# before fabric_add.
start_daemon() {
  local name=$1 zone=${DAEMON_ZONE[$1]} seeds=() other
  local bind reach
  bind=$(bind_ip "$name") reach=$(reach_ip "$name")
  for other in "${DAEMONS[@]}"; do
    [ "$other" = "$name" ] || seeds+=(--peers "$(reach_ip "$other"):7002")
  done
  curl -sS -f -m 5 -X PUT "http://$PLATFORM_BIND/admin/vms/$name" -d "{\"kind\":\"daemon\",\"zone\":\"${ZONES[$((zone - 1))]}\",
    \"peer_address\":\"$reach:7001\",\"control_address\":\"$reach:7002\",\"data_address\":\"$reach:7000\"}" >/dev/null
  start "$name" bin/fulmar-balancer --name "$name" --zone "${ZONES[$((zone - 1))]}" \
    --data-address "$bind:7000" --peer-address "$bind:7001" --control-address "$bind:7002" --admin-address "$bind:7003" --operator-address "$bind:7004" \
    --advertise-peer-address "$reach:7001" --advertise-control-address "$reach:7002" \
    --platform "$PLATFORM_REACH" "${seeds[@]}" --key-file "$RUN_DIR/key"
  DAEMON_UP[$name]=1
  printf '%s %s\n' "$name" "$(admin_url "$name")" >>"$RUN_DIR/daemon-list"
}

vm_ip() { printf '127.%s.%s.%s' "$1" "$((ZONE_BASE + DAEMON_ZONE[$2]))" "${DAEMON_HOST[$2]}"; }
bind_ip() { vm_ip 0 "$1"; }
reach_ip() { vm_ip 1 "$1"; }
admin_url() { printf 'http://%s:7003' "$(bind_ip "$1")"; }

# wait_daemon NAME: waits until the admin address responds. wait_ready NAME: waits until the balancer
# has a configuration.
wait_daemon() { wait_for 10 "$1" curl -sf "$(admin_url "$1")/healthz"; }
wait_ready() { wait_for 15 "readiness of $1" curl -sf "$(admin_url "$1")/readyz"; }

fabric_add() { post "http://$FABRIC_ADMIN/daemons/add?address=$(bind_ip "$1")"; }
fabric_remove() { post "http://$FABRIC_ADMIN/daemons/remove?address=$(bind_ip "$1")"; }

# fabric_cut ZONE ZONE, fabric_heal ZONE ZONE: begin and end a cut. The platform is zone 99 at every
# index.
PLATFORM_ZONE=99
fabric_zone() { printf '%s' $(($1 == PLATFORM_ZONE ? PLATFORM_ZONE : ZONE_BASE + $1)); }
fabric_cut() { post "http://$FABRIC_ADMIN/cut?a=$(fabric_zone "$1")&b=$(fabric_zone "$2")"; }
fabric_heal() { post "http://$FABRIC_ADMIN/heal?a=$(fabric_zone "$1")&b=$(fabric_zone "$2")"; }

# fabric_fault loss|duplicate|delay QUERY, for example: fabric_fault loss share=0.02
fabric_fault() { post "http://$FABRIC_ADMIN/$1?$2"; }

# platform_fault FIELD VALUE: sets one fault of the platform; the others stay as they are.
platform_fault() {
  local field body=
  PLATFORM_FAULTS[$1]=$2
  for field in "${!PLATFORM_FAULTS[@]}"; do body+="${body:+,}\"$field\":${PLATFORM_FAULTS[$field]}"; done
  curl -sS -f -m 5 -X PUT "http://$PLATFORM_BIND/admin/faults" -d "{$body}" >/dev/null
}

# upstream_fault NAME FAULT QUERY, for example: upstream_fault bindery-1 lie on=true
upstream_fault() { post "http://${UPSTREAM_IP[$1]}:9001/fault/$2?$3"; }

# control ARGUMENT...: runs fulmarctl against the first running balancer that responds.
control() {
  local name addresses=()
  for name in "${DAEMONS[@]}"; do
    [ -z "${DAEMON_UP[$name]:-}" ] || addresses+=(--address "$(bind_ip "$name"):7004")
  done
  [ ${#addresses[@]} -gt 0 ] || fail "no balancer is up"
  bin/fulmarctl --timeout 8s "${addresses[@]}" "$@"
}

# watch_generations records the generation in force at each balancer about once per second, so that
# the summary detects a balancer that returns to an older one.
watch_generations() {
  local name url generation
  while :; do
    while read -r name url; do
      generation=$(curl -s -m 1 "$url/status" | sed -n 's/.*"generation":\([0-9]*\).*/\1/p') || true
      [ -z "$generation" ] || printf '%s\t%s\t%s\n' "$(date +%s%3N)" "$name" "$generation" >>"$RUN_DIR/generations.tsv"
    done < <(sort -u "$RUN_DIR/daemon-list")
    sleep 1
  done
}

apply_declaration() { control apply "$DECLARATION" >>"$RUN_DIR/log/apply.log" 2>&1; }

# cluster_start starts all processes, applies the declaration and adds all balancers to the fabric.
cluster_start() {
  local name
  start_stand_ins
  for name in "${DAEMONS[@]}"; do start_daemon "$name"; done
  for name in "${DAEMONS[@]}"; do wait_daemon "$name"; done
  wait_for 10 "apply of $DECLARATION" apply_declaration
  for name in "${DAEMONS[@]}"; do
    wait_ready "$name"
    fabric_add "$name"
  done
  watch_generations 9>&- &
  PIDS[watch]=$!
}

# add_daemon NAME ZONE-NUMBER HOST: starts a balancer that joins the running deployment.
add_daemon() {
  DAEMON_ZONE[$1]=$2 DAEMON_HOST[$1]=$3
  DAEMONS+=("$1")
  start_daemon "$1"
  wait_ready "$1"
  fabric_add "$1"
}

# save_daemon NAME FILE: saves a balancer's counters for the summary.
save_daemon() { curl -s -m 3 "$(admin_url "$1")/metrics" >"$RUN_DIR/daemon/$2.json" || true; }

# stop_daemon NAME: removes a balancer as planned. Its routes are withdrawn first, as on a real network.
stop_daemon() {
  save_daemon "$1" "$1-stopped"
  fabric_remove "$1"
  unset "DAEMON_UP[$1]"
  stop "$1" "$STOP_SECONDS"
  curl -sS -f -m 5 -X DELETE "http://$PLATFORM_BIND/admin/vms/$1" >/dev/null
}

# withdraw_later NAME: removes a balancer from the fabric's list after WITHDRAW_SECONDS, in the
# background. withdrawn NAME waits for the removal.
withdraw_later() {
  { sleep "$WITHDRAW_SECONDS"; fabric_remove "$1"; } &
  WITHDRAWALS[$1]=$!
}
withdrawn() {
  [ -z "${WITHDRAWALS[$1]:-}" ] || wait "${WITHDRAWALS[$1]}"
  unset "WITHDRAWALS[$1]"
}

# kill_daemon NAME: sends SIGKILL; routes are withdrawn after WITHDRAW_SECONDS.
kill_daemon() {
  save_daemon "$1" "$1-killed"
  unset "DAEMON_UP[$1]"
  kill -KILL "${PIDS[$1]}"
  wait "${PIDS[$1]}" 2>/dev/null || true
  unset "PIDS[$1]"
  withdraw_later "$1"
}

# restart_daemon NAME: starts a balancer again after kill_daemon, on the same addresses.
restart_daemon() {
  withdrawn "$1"
  start_daemon "$1"
  wait_ready "$1"
  fabric_add "$1"
}

# pause_daemon NAME: sends SIGSTOP. resume_daemon NAME: sends SIGCONT.
pause_daemon() {
  unset "DAEMON_UP[$1]"
  kill -STOP "${PIDS[$1]}"
  withdraw_later "$1"
}
resume_daemon() {
  withdrawn "$1"
  kill -CONT "${PIDS[$1]}"
  DAEMON_UP[$1]=1
  wait_ready "$1"
  fabric_add "$1"
}

# start_load SECONDS FLOWS [FLAG...]: starts the load generator in the background.
start_load() {
  local seconds=$1 flows=$2 args=() entry
  shift 2
  for entry in "${SERVICES[@]}"; do args+=(--service "$entry"); done
  bin/loadgen "${args[@]}" --duration "${seconds}s" --flows "$flows" --seed "$SEED" --network "$CALLER_NETWORK" --report "$RUN_DIR/loadgen.json" "$@" \
    >"$RUN_DIR/log/loadgen.log" 2>&1 9>&- &
  PIDS[loadgen]=$!
}

# end_load ends the load early. The load generator still makes the final check of each flow.
end_load() { kill -USR1 "${PIDS[loadgen]}" 2>/dev/null || true; }

wait_load() {
  local status=0
  wait "${PIDS[loadgen]}" || status=$?
  unset "PIDS[loadgen]"
  [ "$status" -eq 0 ] || fail "loadgen ended with status $status; see $RUN_DIR/log/loadgen.log"
}

# snapshot_flows FILE: appends the current report of each upstream, with its flows, to a file.
snapshot_flows() {
  local name
  for name in "${!UPSTREAM_IP[@]}"; do curl -s -m 3 "http://${UPSTREAM_IP[$name]}:9001/report" >>"$RUN_DIR/$1" || true; done
}

# collect saves the state of the balancers and stops the upstreams, which then write their reports.
collect() {
  local name
  stop watch
  for name in "${!DAEMON_UP[@]}"; do save_daemon "$name" "$name"; done
  control --timeout 3s --output json query show daemons >"$RUN_DIR/daemons.json" || true
  for name in "${!UPSTREAM_IP[@]}"; do
    running "$name" && kill -TERM "${PIDS[$name]}"
  done
  for name in "${!UPSTREAM_IP[@]}"; do stop "$name" 5; done
}
