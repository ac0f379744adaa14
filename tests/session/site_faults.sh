#!/bin/bash
# Real processes under faults of every part: backend servers that run a
# request and lose the answer, answer twice or refuse; drains; a store that is
# off and drops its history; an entry stopped, another one killed.
#
# Callers see no booking doubled, no "not run" that ran, and no answer to
# another request; nothing reaches a server after its drain. Requests cut by
# the kill, or whose answer was lost, end as unknown.
# usage: site_faults.sh BUILD
exec "$(dirname "$0")/../../standins/demo_site.sh" "$1"
