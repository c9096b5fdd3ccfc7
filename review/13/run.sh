#!/usr/bin/env bash
# A core machine is replaced as planned, the new one first; a second later two others lose their disks. See claim.txt.
set -u
. "$(dirname "$0")/../standin-3/core.sh"

trouble=${TROUBLE:-1}
start_five_and_find_leader

# The machine that is replaced does not lead, nor do those that lose their disks.
replaced=5
[ "$leader" = 5 ] && replaced=4
wiped=$(printf '%s\n' 1 2 3 4 5 | grep -v -e "^$leader\$" -e "^$replaced\$" | tail -n 2)

start_core 6 false
sleep 5 # more than catchUpS: from now on the machine that is removed does not count
remove "$replaced" TERM
sleep 1
replace 30 "$leader" 6 || fail_to_run "no acknowledgement after the replacement"
if [ "$trouble" = 1 ]; then
    for machine in $wiped; do
        lose_disk "$machine"
    done
    sleep 0.5
    for machine in $wiped; do
        start_core "$machine" false
    done
fi
sleep 13 # more than recoveryS after all are back

read_back 30
record "result $broken"
exit "$broken"
