#!/bin/bash
# Checks the source layout of docs/DEVELOPING.md: wire names of the users'
# platform occur in platform/ and deploy/ only, no source file has more than
# 600 lines, and includes between packages form no cycle. Part of `make lint`.
set -uo pipefail
cd "$(dirname "$0")/.." || exit 2
failed=0

fail() {
    printf 'layout: %s\n' "$*" >&2
    failed=1
}

# String literals of the adapter with the form of wire names: they contain a
# dash, an underscore or a slash.
wire_names() {
    grep -ohE '"[A-Za-z/][A-Za-z0-9]*([-_/][A-Za-z0-9]+)+"' platform/*.c |
        sort -u | grep -vxF -e '"application/json"'
}

while read -r name; do
    found=$(grep -rnF --include='*.[ch]' -- "$name" lib programs)
    [ -z "$found" ] || fail "$name belongs in platform/: $found"
done < <(wire_names)

while read -r lines file; do
    [ "$lines" -le 600 ] || fail "$file has $lines lines, above 600"
done < <(find lib platform programs -name '*.[ch]' ! -name '*.pb-c.*' \
    -exec wc -l {} + | grep -v ' total$')

# "package included-package" for each include across packages of lib/.
pairs() {
    grep -rnE --include='*.[ch]' '^#include "[a-z]+/' lib |
        sed -nE 's|^lib/([a-z]+)/[^:]*:[0-9]+:#include "([a-z]+)/.*|\1 \2|p' |
        awk '$1 != $2' | sort -u
}

cycle=$(pairs | tsort 2>&1 >/dev/null)
[ -z "$cycle" ] || fail "include cycle between packages: $cycle"

[ "$(wire_names | wc -l)" -ge 20 ] ||
    fail "fewer than 20 wire names found in platform/: check the pattern"
exit "$failed"
