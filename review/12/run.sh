#!/usr/bin/env bash
# A core machine is replaced while another one stands still; then two others lose their disks. See claim.txt.
set -u
. "$(dirname "$0")/../standin-3/core.sh"

trouble=${TROUBLE:-1}
start_five_and_find_leader

frozen=$(seed_that_does_not_lead)
wiped=$(other_seeds "$frozen")
gone=5
[ "$leader" = 5 ] && gone=4

if [ "$trouble" = 1 ]; then
    freeze "$frozen"
    sleep 0.5
    remove "$gone"
    sleep 0.2
    start_core 6 false
    sleep 4.5 # more than catchUpS: the machine that is gone has stopped counting
    replace 30 "$leader" 6 || fail_to_run "no acknowledgement with one machine frozen and one replaced"
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

read_back 30
record "result $broken"
exit "$broken"
