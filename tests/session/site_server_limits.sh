#!/bin/bash
# Servers announce a limit of requests per second for all entries together; the
# entries must share it rather than each use it in full.
# usage: site_server_limits.sh BUILD
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
. standins/lib.sh
. standins/site.sh

site_begin "$1" --seconds 14 --callers 30 --limit 5.7 --limit-from 3 || exit 1
site_conclude
