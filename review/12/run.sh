#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
for program in target/fulmar-balancer target/review-standin3; do
  [ -x "$program" ] || { echo "$program is missing: run the build of deploy/system.toml and review/build-3.sh"; exit 2; }
done
directory=$(mktemp -d) || exit 2
trap 'rm -rf "$directory"' EXIT
target/review-standin3 bound review/12/record.txt "$directory" &
# A signal to this script ends the stand-in, which ends all processes that it started.
trap 'kill $! 2>/dev/null; wait $!; exit 2' TERM INT HUP
wait $!
