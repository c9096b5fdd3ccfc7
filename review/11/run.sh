#!/usr/bin/env bash
# A machine is added to the core while another one stands still; then two others lose their disks. See claim.txt.
set -u
. "$(dirname "$0")/../standin-3/core.sh"

trouble=${TROUBLE:-1}
start_five_and_find_leader

frozen=$(seed_that_does_not_lead)
wiped=$(other_seeds "$frozen")

if [ "$trouble" = 1 ]; then
    freeze "$frozen"
    sleep 0.5
    start_core 6 false
    sleep 4.5 # more than catchUpS: the new machine no longer counts as lost
    replace 30 "$leader" 6 || fail_to_run "no acknowledgement while one machine stands still"
    for machine in $wiped; do
        lose_disk "$machine"
    done
    sleep 0.5
    for machine in $wiped; do
        start_core "$machine" false
    done
    sleep 1
    thaw "$frozen"
else
    start_core 6 false
    sleep 7
    replace 30 "$leader" 6 || fail_to_run "no acknowledgement"
fi
sleep 13 # more than recoveryS after all are back

# The operator goes on with its work. Each version goes to another machine first, as its list is picked from at random.
acknowledged=30
send_versions_to_all
sleep 4 # more than configApplyMs
check_reads "$acknowledged"
record "result $broken"
exit "$broken"
