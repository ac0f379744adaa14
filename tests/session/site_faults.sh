#!/bin/bash
# Real processes with faults in every component: backend servers that run a
# request and lose the answer, answer twice or refuse; drains; a store outage
# and a dropped history; an entry that is stopped and another one that is
# killed.
#
# No booking may run twice, no request reported as not run may have run, no
# caller may get the answer to another request, and no request may reach a
# drained server. Requests cut off by the kill, or whose answer was lost, end
# as unknown.
# usage: site_faults.sh BUILD
exec "$(dirname "$0")/../../standins/demo_site.sh" "$1"
