#!/usr/bin/env bash
# Verifies each model, and that the verifier finds an error in each mutation. A mutation removes one
# mechanism of the model.
set -euo pipefail
cd "$(dirname "$0")"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
passed=0
failed=0

# verify MODEL [MUTATION]: prints the number of errors that the verifier found.
verify() {
  local model=$1 mutation=${2:-} dir
  dir=$(mktemp -d "$work/XXXXXX")
  cp "$model.pml" "$dir/"
  (
    cd "$dir"
    spin -a ${mutation:+-D$mutation} "$model.pml" >spin.log
    gcc -O2 -w -DSAFETY -DCOLLAPSE -DMEMLIM=4096 -o pan pan.c
    ./pan -m100000 -E >pan.log 2>&1 || true
    # An incomplete search is no evidence that the model has no errors.
    if grep -q -e 'max search depth too small' -e 'memory' -e 'interrupted' <(grep -i 'error:\|reached' pan.log); then
      echo incomplete
      exit
    fi
    sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.log
  )
}

expect() {
  local model=$1 mutation=$2 want=$3 errors
  errors=$(verify "$model" "$mutation")
  if { [ "$want" = none ] && [ "$errors" = 0 ]; } || { [ "$want" = some ] && [ "${errors:-0}" -gt 0 ] 2>/dev/null; }; then
    echo "ok    $model ${mutation:-(no mutation)}: $errors errors"
    passed=$((passed + 1))
  else
    echo "FAIL  $model ${mutation:-(no mutation)}: $errors errors, want $want"
    failed=$((failed + 1))
  fi
}

for model in commit lease ownership request; do
  expect "$model" "" none
  # Each mutation is named in an #ifdef or #ifndef of the model.
  for mutation in $(sed -n 's/^#ifn\{0,1\}def \([A-Z_]*\)$/\1/p' "$model.pml" | sort -u); do
    expect "$model" "$mutation" some
  done
done
echo "model check: $passed passed, $failed failed"
[ "$failed" = 0 ]
