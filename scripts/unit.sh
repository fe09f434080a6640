#!/usr/bin/env bash
# Runs all tests with the race detector. Tests of a package are repeated once if the detector itself
# crashed. In Go 1.26 all timers of a synctest bubble share one race context
# (runtime.(*timer).unlockAndRun). Two timers that fire concurrently on two threads corrupt it, and the
# process crashes inside the detector without a result. A failed test, a reported data race and a panic
# are results and are never repeated.
#
# usage: unit.sh [PACKAGE...], all packages by default
set -uo pipefail
cd "$(dirname "$0")/.."

log=$(mktemp "${TMPDIR:-/tmp}/fulmarfield-unit.XXXXXX")
trap 'rm -f "$log"' EXIT
# Limit for one package, with a margin for a busy machine.
TIMEOUT=8m

run_tests() { go test -race -count=1 -timeout "$TIMEOUT" "$@" 2>&1 | tee "$log"; }

# crashed_packages LOG: prints the packages in which the detector crashed, or fails if a package failed
# for any other reason. go test prints the output of a package before its FAIL line.
crashed_packages() {
  awk '
    /^ThreadSanitizer: CHECK failed/ || /^SIGSEGV: segmentation violation/ { crashed = 1 }
    /--- FAIL/ || /WARNING: DATA RACE/ || /^panic: / { verdict = 1 }
    /^(ok|\?) / { crashed = verdict = 0 }
    /^FAIL\t/ {
      if (!crashed || verdict) { other = 1 } else { print $2 }
      crashed = verdict = 0
    }
    END { exit other }
  ' "$1"
}

[ $# -gt 0 ] || set -- ./...
run_tests "$@" && exit 0
mapfile -t again < <(crashed_packages "$log" || echo failed)
if [ ${#again[@]} -eq 0 ] || [[ " ${again[*]} " == *" failed "* ]]; then
  exit 1
fi
echo "the race detector crashed in ${again[*]}; running again once"
run_tests "${again[@]}"
