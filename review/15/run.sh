#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/review-3 ] || exit 2
exec target/release/review-3 reserve review/15
