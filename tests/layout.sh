#!/bin/bash
# How the sources are laid out, as docs/DEVELOPING.md says: names that the
# users' platform speaks stand in platform/ and deploy/ only; no file of the
# library has more than 600 lines; packages include each other without a
# circle. Part of `make lint`.
set -uo pipefail
cd "$(dirname "$0")/.." || exit 2
failed=0

complain() {
    printf 'layout: %s\n' "$*" >&2
    failed=1
}

# Literals of the adapter that look like names on the wire: with a dash, an
# underscore or a slash in them.
wire_names() {
    grep -ohE '"[A-Za-z/][A-Za-z0-9]*([-_/][A-Za-z0-9]+)+"' platform/*.c |
        sort -u | grep -vxF -e '"application/json"'
}

while read -r name; do
    found=$(grep -rnF --include='*.[ch]' -- "$name" lib programs)
    [ -z "$found" ] || complain "$name belongs in platform/: $found"
done < <(wire_names)

while read -r lines file; do
    [ "$lines" -le 600 ] || complain "$file has $lines lines, above 600"
done < <(find lib platform programs -name '*.[ch]' ! -name '*.pb-c.*' \
    -exec wc -l {} + | grep -v ' total$')

# "package included-package" for each include across packages of lib/.
pairs() {
    grep -rnE --include='*.[ch]' '^#include "[a-z]+/' lib |
        sed -nE 's|^lib/([a-z]+)/[^:]*:[0-9]+:#include "([a-z]+)/.*|\1 \2|p' |
        awk '$1 != $2' | sort -u
}

circle=$(pairs | tsort 2>&1 >/dev/null)
[ -z "$circle" ] || complain "packages include each other: $circle"

[ "$(wire_names | wc -l)" -ge 20 ] ||
    complain "found hardly any names in platform/: is the pattern still right?"
exit "$failed"
