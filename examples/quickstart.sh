#!/usr/bin/env bash
# Runs a small query tier on loopback addresses: three daemons with the entry and control roles, two with the
# entry role alone, and 40 stub endpoints that serve the service "verses" with 20 shards and two replicas of
# each. Sends a query, stops both endpoints of one shard and sends the query again.
#
# Usage: examples/quickstart.sh [BUILD_DIRECTORY]
# Without a build directory, installs the required packages and builds in the folder "build" first.
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
# The network depends on the process id, so that concurrent runs use different addresses.
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
        echo "quickstart failed with status $status; ends of the logs:"
        tail -n 20 "$folder"/*.log
    fi
    rm -rf "$folder"
}
trap finish EXIT

# Prints the data centre of a VM.
data_centre_of() { echo "dc$((($1 - 1) % 3 + 1))"; }

members=""
for i in 1 2 3; do
    members+="    - { vm: vm$i, address: \"$net.$i:8401\" }"$'\n'
done

# Prints the settings of a VM.
print_settings() {
    local vm=$1
    cat << SETTINGS
vm: { id: vm$vm, data_centre: $(data_centre_of "$vm") }
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
# Runs a statement through VM 4.
run_statement() { "$ctl" --server="$server" "$@"; }

for vm in 1 2 3 4 5; do
    print_settings "$vm" > "$folder/vm$vm.yaml"
    "$daemon" --settings="$folder/vm$vm.yaml" 2> "$folder/vm$vm.log" &
    pids+=($!)
    daemon_pids[vm]=$!
done

echo "waiting for the five VMs to be admitted"
for _ in $(seq 150); do
    admitted=$(run_statement --output=json "SHOW VMS" 2> /dev/null | grep -o '"admitted"' | wc -l || true)
    [ "$admitted" -eq 5 ] && break
    sleep 0.2
done
[ "$admitted" -eq 5 ]

echo "creating the service"
# The coverage checks need an answer with all shards that can be reached, however slow the machine is.
run_statement "CREATE SERVICE verses WITH floor = 0.5, deadline = 2 s, patience = 1500 ms"

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
    registered=$(run_statement --output=json "SHOW ENDPOINTS OF verses" 2> /dev/null | grep -o '"active"' | wc -l || true)
    [ "$registered" -eq 40 ] && break
    sleep 0.2
done
[ "$registered" -eq 40 ]

echo "sending a query"
answer=$(run_statement "QUERY verses 'lilies' LIMIT 3")
echo "$answer"
grep -q "20/20" <<< "$answer"

# Prints the latency percentiles of 100 queries under a title.
print_latency() { # TITLE
    for _ in $(seq 100); do
        start=$(date +%s%N)
        run_statement "QUERY verses 'roses'" > /dev/null
        echo $((($(date +%s%N) - start) / 1000))
    done | sort -n | awk -v title="$1" '{ t[NR] = $1 } END { printf "%s, including the start of flamingoctl: p50 %.1f ms, p99 %.1f ms\n", title, t[int(NR * 0.5)] / 1000, t[int(NR * 0.99)] / 1000 }'
}
print_latency "100 queries of 20 shards"

echo "stopping both endpoints of shard 7"
kill -9 "${stub_pids[14]}" "${stub_pids[15]}"
answer=$(run_statement "QUERY verses 'lilies' LIMIT 3")
echo "$answer"
grep -q "19/20" <<< "$answer"

# An answer without a shard is sent only after the patience of the service.
run_statement "ALTER SERVICE verses WITH deadline = 500 ms, patience = 20 ms"
print_latency "100 queries while a shard is lost"
echo "resident memory of each daemon"
for vm in 1 2 3 4 5; do
    echo "vm$vm resident: $(awk '/VmRSS/ { print $2 " " $3 }' "/proc/${daemon_pids[vm]}/status")"
done
echo "done"
