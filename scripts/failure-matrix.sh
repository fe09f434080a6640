#!/usr/bin/env bash
# Runs failure-run.sh for a list of cases, several at a time, with alternating deployments, and prints
# and saves a table with one row per run. Exit status 0 means that every invariant
# held in every run.
set -euo pipefail
cd "$(dirname "$0")/.."

CASES=(kill pause zone-cut platform-cut platform-outage platform-slow lost-answers operator-race half-open lying-upstream loss delay copies planned)
DEPLOYMENTS=(hopkrans-hoeve kelpiestone-engraving)
MAX_JOBS=4
# Load after the last recovery of a run.
TAIL_SECONDS=2

usage() {
  cat <<END
usage: $0 [--seed N] [--jobs N] [--out DIR] [--list RUN[ RUN...]] [--keep]
  --seed  base seed; run number N of the list, counted from 0, has this seed plus N
  --jobs  runs at once, 1 to $MAX_JOBS (3)
  --out   directory of the table and of the files of runs that violated an invariant, broke a
          connection or failed; it must not exist
  --keep  keep the files of all runs, a few MB each
  --list  runs as CASE, CASE,CASE or CASE*TIMES (default: each case, each case twice, all pairs)
END
}

seed=1 jobs=3 out= list= keep=
while [ $# -gt 0 ]; do
  case $1 in
    --seed) seed=${2:-} ;;
    --jobs) jobs=${2:-} ;;
    --out) out=${2:-} ;;
    --list) list=${2:-} ;;
    --keep) keep=1; shift; continue ;;
    --help) usage; exit 0 ;;
    *) usage >&2; exit 2 ;;
  esac
  shift 2 || { usage >&2; exit 2; }
done
bad_setting() { printf 'bad setting: %s\n' "$*" >&2; exit 2; }
[[ $seed =~ ^[0-9]{1,8}$ ]] || bad_setting "--seed $seed: allowed: a number of up to 8 digits"
[[ $jobs =~ ^[1-9]$ ]] && ((jobs <= MAX_JOBS)) || bad_setting "--jobs $jobs: allowed: 1 to $MAX_JOBS"
if [ -n "$out" ]; then
  mkdir "$out" || bad_setting "--out $out: allowed: a directory that does not exist, in one that does"
else
  out=$(mktemp -d "${TMPDIR:-/tmp}/fulmarfield-matrix.XXXXXX")
fi

if [ -n "$list" ]; then
  read -ra runs <<<"$list"
else
  runs=("${CASES[@]}" "${CASES[@]/%/*2}")
  for ((i = 0; i < ${#CASES[@]}; i++)); do
    for ((j = i + 1; j < ${#CASES[@]}; j++)); do runs+=("${CASES[i]},${CASES[j]}"); done
  done
fi

declare -A RUNNING=() # index of the addresses to the process id of its run
declare -A NUMBER=()  # index of the addresses to the number of its run in the list

matrix_exit() {
  local status=$? index
  trap '' INT TERM
  for index in "${!RUNNING[@]}"; do kill -TERM "${RUNNING[$index]}" 2>/dev/null || true; done
  for index in "${!RUNNING[@]}"; do wait "${RUNNING[$index]}" 2>/dev/null || true; done
  exit "$status"
}
trap matrix_exit EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

deployment_for() { printf '%s' "${DEPLOYMENTS[$1 % ${#DEPLOYMENTS[@]}]}"; }

# begin_run INDEX NUMBER: starts a run in the background.
begin_run() {
  local run=${runs[$2]} repeat=1
  [[ $run != *\** ]] || repeat=${run##*\*}
  scripts/failure-run.sh --case "${run%%\**}" --repeat "$repeat" --deployment "$(deployment_for "$2")" --seed $((seed + $2)) \
    --tail "$TAIL_SECONDS" --index "$1" --save "$out/run-$2" >"$out/run-$2.log" 2>&1 &
  RUNNING[$1]=$!
  NUMBER[$1]=$2
}

# end_run INDEX: saves the row of a run that has ended. It deletes the run's files if all invariants
# held and no connection broke, unless --keep is set.
end_run() {
  local number=${NUMBER[$1]} status=0 row verdict broken
  wait "${RUNNING[$1]}" || status=$?
  unset "RUNNING[$1]" "NUMBER[$1]"
  row=$(cat "$out/run-$number/row" 2>/dev/null || true)
  if [ -z "$row" ]; then row="FAILED with status $status"$'\tunknown\tunknown\tunknown\tunknown\t0'; fi
  printf '%s\t%s\t%s\t%s\n' "${runs[number]}" "$(deployment_for "$number")" $((seed + number)) "$row" >"$out/row-$number"
  printf '%s %d/%d %s\n' "$(date +%T)" $((number + 1)) ${#runs[@]} "$(tr '\t' '|' <"$out/row-$number")"
  IFS=$'\t' read -r verdict broken _ <<<"$row"
  if [ "$verdict" = held ] && [ "$status" -eq 0 ]; then
    [ "$broken" != none ] || [ -n "$keep" ] || rm -rf "$out/run-$number" "$out/run-$number.log"
  else
    failed=$((failed + 1))
  fi
}

failed=0 next=0
while ((next < ${#runs[@]} || ${#RUNNING[@]} > 0)); do
  # Index 0 is reserved for manual runs.
  for ((index = 1; index <= jobs; index++)); do
    if [ -n "${RUNNING[$index]:-}" ] && ! kill -0 "${RUNNING[$index]}" 2>/dev/null; then end_run "$index"; fi
    if [ -z "${RUNNING[$index]:-}" ] && ((next < ${#runs[@]})); then
      begin_run "$index" "$next"
      next=$((next + 1))
    fi
  done
  sleep 0.5
done

{
  printf 'case\tdeployment\tseed\tverdict\tbroken connections\trefused\tunknown\terrors\trequests\n'
  for ((number = 0; number < ${#runs[@]}; number++)); do cat "$out/row-$number"; done
} >"$out/table.tsv"
rm -f "$out"/row-*
column -t -s $'\t' "$out/table.tsv"
printf '%d runs, %d failed; table and files of runs: %s\n' "${#runs[@]}" "$failed" "$out"
[ "$failed" -eq 0 ]
