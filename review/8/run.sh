#!/bin/bash
# Starts three entries with the command of the deploy file, a store, upstreams
# and clients. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0: without the disruption.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
program=build/review-2/last
[ -x "$program" ] && [ -x target/godwitedge ] || exit 2
temporary=$(mktemp -d) || exit 2
"$program" review/8 "$temporary" target/godwitedge "${TROUBLE:-1}"
rc=$?
[ -n "${KEEP:-}" ] && echo "kept: $temporary" || rm -rf "$temporary"
[ "$rc" -le 2 ] || rc=2
exit "$rc"
