#!/usr/bin/env bash
# Runs a small tier on loopback addresses: three daemons with the entry and control roles, two with the
# entry role, and the verse and design finder as 20 shards with two stub endpoints each. Asks a query,
# stops both endpoints of one shard and asks again.
#
# Usage: examples/quickstart.sh [BUILD_DIRECTORY]
# Without a build directory it installs the packages and builds in "build" first.
set -euo pipefail
cd "$(dirname "$0")/.."

if [ $# -eq 0 ]; then
    tools/install-packages.sh
    cmake -S . -B build -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo > /dev/null
    cmake --build build --target flamingod flamingoctl stub_endpoint
fi
build=${1:-build}
daemon=$build/src/flamingod/flamingod
ctl=$build/src/flamingoctl/flamingoctl
stub=$build/bench/endpoint/stub_endpoint
# Each run has its own loopback network, so that two runs do not meet.
net=127.$((64 + $$ % 64)).$(($$ / 64 % 250))
folder=$(mktemp -d)
pids=()

finish() {
    local status=$?
    for pid in "${pids[@]}"; do
        kill "$pid" 2> /dev/null || true
    done
    wait
    if [ $status -ne 0 ]; then
        echo "failed; logs:"
        tail -n 20 "$folder"/*.log
    fi
    rm -rf "$folder"
}
trap finish EXIT

centre() { echo "dc$((($1 - 1) % 3 + 1))"; }

members=""
for i in 1 2 3; do
    members+="    - { vm: vm$i, address: \"$net.$i:8401\" }"$'\n'
done

write_settings() {
    local vm=$1
    cat << SETTINGS
vm: { id: vm$vm, data_centre: $(centre "$vm") }
entry: { listen: $net.$vm, port: 8400 }
SETTINGS
    if [ "$vm" -le 3 ]; then
        cat << SETTINGS
roles: [entry, control]
control:
  listen: $net.$vm:8401
  data_folder: $folder/vm$vm
  bootstrap: true
  members:
$members
SETTINGS
    else
        echo "roles: [entry]"
        echo "control_addresses: [\"$net.1:8401\", \"$net.2:8401\", \"$net.3:8401\"]"
    fi
}

server=$net.4:8400
ask() { "$ctl" --server="$server" "$@"; }

for vm in 1 2 3 4 5; do
    write_settings "$vm" > "$folder/vm$vm.yaml"
    "$daemon" --settings="$folder/vm$vm.yaml" 2> "$folder/vm$vm.log" &
    pids+=($!)
    daemon_pids[vm]=$!
done

echo "waiting for the five VMs to be admitted"
for _ in $(seq 150); do
    admitted=$(ask --output=json "SHOW VMS" 2> /dev/null | grep -o '"admitted"' | wc -l || true)
    [ "$admitted" -eq 5 ] && break
    sleep 0.2
done
[ "$admitted" -eq 5 ]

echo "creating the service"
ask "CREATE SERVICE verses WITH floor = 0.5, deadline = 500 ms"

cat > "$folder/stub.yaml" << SCENARIO
daemons: ["$net.4:8400", "$net.5:8400"]
services:
  - { name: verses, snapshots: [ { version: 7, shards: 20 } ], replicas: 2, address: $net.100, port: 9000,
      connections: 60, slots: 2, data_centres: [ dc1, dc2, dc3 ] }
SCENARIO
echo "starting 40 stub endpoints"
for shard in $(seq 0 19); do
    for replica in 0 1; do
        "$stub" --only="verses-$shard-$replica" --admin-port=0 "$folder/stub.yaml" > "$folder/stub-$shard-$replica.log" &
        pids+=($!)
        stub_pids[shard * 2 + replica]=$!
    done
done
for _ in $(seq 100); do
    registered=$(ask --output=json "SHOW ENDPOINTS OF verses" 2> /dev/null | grep -o '"active"' | wc -l || true)
    [ "$registered" -eq 40 ] && break
    sleep 0.2
done
[ "$registered" -eq 40 ]

echo "asking a query"
answer=$(ask "QUERY verses 'lilies' LIMIT 3")
echo "$answer"
grep -q "20/20" <<< "$answer"

latency() { # WHAT
    for _ in $(seq 100); do
        start=$(date +%s%N)
        ask "QUERY verses 'roses'" > /dev/null
        echo $((($(date +%s%N) - start) / 1000))
    done | sort -n | awk -v what="$1" '{ t[NR] = $1 } END { printf "%s, with the start of flamingoctl: p50 %.1f ms, p99 %.1f ms\n", what, t[int(NR * 0.5)] / 1000, t[int(NR * 0.99)] / 1000 }'
}
latency "100 queries of 20 shards"

echo "stopping both endpoints of shard 7"
kill -9 "${stub_pids[14]}" "${stub_pids[15]}"
answer=$(ask "QUERY verses 'lilies' LIMIT 3")
echo "$answer"
grep -q "19/20" <<< "$answer"

# The service's patience, 20 ms by default, passes before an answer goes out without a shard.
latency "100 queries while a shard is lost"
echo "memory of each process"
for vm in 1 2 3 4 5; do
    echo "vm$vm resident: $(awk '/VmRSS/ { print $2 " " $3 }' "/proc/${daemon_pids[vm]}/status")"
done
echo "done"
