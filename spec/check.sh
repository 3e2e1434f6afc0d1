#!/usr/bin/env bash
# Checks the models, then that each guard is needed: a variant without it must fail.
# With --full a wider model is checked; it takes several times as long and as much memory.
set -euo pipefail
cd "$(dirname "$0")"
spec=$(pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$work"

# The search depth, and the most seconds for one run.
DEPTH=200000
LIMIT=600
passed=0
failed=0

# run MODEL MACRO SEARCH: explores a model and sets `errors` and `states`.
run() {
  spin "-D$2" -a "$spec/$1.pml"
  gcc -O2 -w -DSAFETY -DHC4 $3 -o pan pan.c
  timeout "$LIMIT" ./pan -m"$DEPTH" -w24 >out 2>&1 || true
  errors=$(sed -n 's/.*errors: \([0-9]*\)$/\1/p' out)
  states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' out)
  if grep -q "max search depth too small\|out of memory" out; then
    errors=incomplete
  fi
}

# report NAME VERDICT: counts and prints one run.
report() {
  if [ "$2" = ok ]; then
    passed=$((passed + 1))
  else
    failed=$((failed + 1))
  fi
  printf '%-28s %-7s errors %-10s states %s\n' "$1" "$2" "${errors:-none}" "${states:-?}"
}

holds() {
  run "$1" "$2" ""
  [ "$errors" = 0 ] && report "$1 $2" ok || report "$1 $2" FAILED
}

# A variant fails when the search ends with a violated assertion.
breaks() {
  run "$1" "$2" "${3:-}"
  { [ "$errors" = 1 ] && grep -q "assertion violated" out; } \
    && report "$1 $2" ok || report "$1 $2" FAILED
}

whole=WHOLE
if [ "${1:-}" = --full ]; then
  whole=FULL
fi

holds lead "$whole"
for guard in NO_FENCE NO_STAMP NO_MAJORITY NO_WAIT_OUT NO_CONFIRM NO_BLIND CLAIM_EXTENDS; do
  breaks lead "$guard" -DBFS
done
holds config WHOLE
for guard in NO_READ_BACK NO_FLOOR NO_ORDER; do
  breaks config "$guard"
done

echo "$passed passed, $failed failed"
[ "$failed" = 0 ]
