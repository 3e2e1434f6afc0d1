#!/usr/bin/env bash
# Checks the models, then that each guard is needed: a variant without it must fail.
#
# The search of `lead` keeps hashes of states. A smaller one (one tenure) and `config` keep the states
# themselves, so that their passes are proofs within the bounds.
#   --full  keeps the states of a wider `lead` too: 6 GB and ten minutes or more
set -euo pipefail
cd "$(dirname "$0")"
spec=$(pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$work"

# The search depth, the most seconds for one run, and the most memory in MB where states are kept.
DEPTH=200000
LIMIT=600
FULL_LIMIT=3600
MEMORY=11000
hashes=-DHC4
states="-DCOLLAPSE -DMEMLIM=$MEMORY"
store=$hashes
passed=0
failed=0

# run MODEL MACROS SEARCH: explores a model and sets `errors` and `count`.
run() {
  spin ${2/#/-D} -a "$spec/$1.pml"
  gcc -O2 -w -DSAFETY $store $3 -o pan pan.c
  timeout "$LIMIT" ./pan -m"$DEPTH" -w24 >out 2>&1 || true
  errors=$(sed -n 's/.*errors: \([0-9]*\)$/\1/p' out)
  count=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' out)
  if grep -q "max search depth too small\|out of memory\|reached -DMEMLIM bound" out; then
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
  printf '%-36s %-7s errors %-10s states %s\n' "$1" "$2" "${errors:-none}" "${count:-?}"
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

# proves MODEL MACROS: as `holds`, with the states themselves kept.
proves() {
  store=$states
  holds "$1" "$2"
  store=$hashes
}

proves lead "WHOLE -DTENURES=1 -DINTERIMS=1"
if [ "${1:-}" = --full ]; then
  LIMIT=$FULL_LIMIT
  proves lead FULL
else
  holds lead WHOLE
fi
for guard in NO_FENCE NO_STAMP NO_MAJORITY NO_WAIT_OUT NO_CONFIRM NO_BLIND CLAIM_EXTENDS; do
  breaks lead "$guard" -DBFS
done
proves config WHOLE
for guard in NO_READ_BACK NO_FLOOR NO_ORDER; do
  breaks config "$guard"
done

echo "$passed passed, $failed failed"
[ "$failed" = 0 ]
