#!/bin/bash
# Servers that name the requests a second that they take from all entries
# together must not get what each entry takes for itself.
# usage: site_server_limits.sh BUILD
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
. standins/lib.sh
. standins/site.sh

site_begin "$1" --seconds 14 --callers 30 --limit 5.7 --limit-from 3 || exit 1
site_conclude
