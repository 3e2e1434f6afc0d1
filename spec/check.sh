#!/usr/bin/env bash
# Checks the models, and then that each guard is needed: a variant without it must violate an assertion.
#
# The search of `lead` stores hashes of states, which can hide states. The searches of a smaller `lead`
# (one tenure), of `config`, of `revocation` and of `handover` store full states, so their passes are proofs within
# the bounds.
#   --full  searches a wider `lead` with full states instead: 6 GB and ten minutes or more
#
# The macro WHOLE has no effect in the models; it marks the runs with all guards in the output.
set -euo pipefail
cd "$(dirname "$0")"
spec=$(pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$work"

# The maximum search depth, seconds per run (also with --full), and memory in MB of searches that store
# full states.
DEPTH=200000
LIMIT=600
FULL_LIMIT=3600
MEMORY=11000
hashes=-DHC4
states="-DCOLLAPSE -DMEMLIM=$MEMORY"
store=$hashes
passed=0
failed=0

# run MODEL MACROS OPTIONS: explores a model, compiled with the options, and sets `errors` and `count`.
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

# report NAME VERDICT: counts a run and prints its result.
report() {
  if [ "$2" = ok ]; then
    passed=$((passed + 1))
  else
    failed=$((failed + 1))
  fi
  printf '%-36s %-7s errors %-10s states %s\n' "$1" "$2" "${errors:-none}" "${count:-?}"
}

# holds MODEL MACROS: passes if the complete search finds no error.
holds() {
  run "$1" "$2" ""
  [ "$errors" = 0 ] && report "$1 $2" ok || report "$1 $2" FAILED
}

# breaks MODEL MACRO [OPTIONS]: passes if the search finds a violated assertion.
breaks() {
  run "$1" "$2" "${3:-}"
  { [ "$errors" = 1 ] && grep -q "assertion violated" out; } \
    && report "$1 $2" ok || report "$1 $2" FAILED
}

# proves MODEL MACROS: like `holds`, with full states.
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
proves revocation WHOLE
for guard in NO_AGE ANSWER_TIME PING_TIME WATCH_CONFIRMS; do
  breaks revocation "$guard"
done
proves handover WHOLE
for guard in GOES_ON ASK_TIME OWN_LEASES ALL_LEASES OTHER_CLAIM LATE; do
  breaks handover "$guard"
done

echo "$passed passed, $failed failed"
[ "$failed" = 0 ]
