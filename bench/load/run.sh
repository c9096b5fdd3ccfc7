#!/usr/bin/env bash
# Starts three daemons and the stub endpoints of one service on loopback and runs load_tool against them, healthy and
# with injected faults, each time with the naive fan-out as the baseline. Stops all processes at the end.
#
# Usage: bench/load/run.sh BUILD_DIRECTORY SITE [CASE...]
# SITE: verses (20 shards), dispatch (30 shards), wide (400 shards).
# CASE: healthy slow silent shedding lying cold overload; all by default.
set -euo pipefail
cd "$(dirname "$0")/../.."
build=$(realpath "${1:?build directory}")
site=${2:?site}
shift 2
cases=${*:-healthy slow silent shedding lying cold overload}
out=${OUT:-$build/load}
mkdir -p "$out"
median=${MEDIAN_MS:-2}
p99=${P99_MS:-6}
service_options=${SERVICE_OPTIONS:-prefer = full, deadline = 500 ms}
spare_endpoints=${SPARE_ENDPOINTS:-0} # idle endpoints of four other services
seconds=${SECONDS_PER_RUN:-5}
case $site in
    verses) shards=20 rate=${RATE:-100} ;;
    dispatch) shards=30 rate=${RATE:-100} ;;
    wide) shards=400 rate=${RATE:-10} ;;
    *) echo "unknown site $site" >&2; exit 2 ;;
esac
shards=${SHARDS:-$shards}
net=127.$((64 + $$ % 64)).$(($$ / 64 % 240))
folder=$(mktemp -d)
pids=()
finish() {
    local status=$?
    for pid in "${pids[@]}"; do kill "$pid" 2> /dev/null || true; done
    wait
    [ $status -eq 0 ] || tail -n 5 "$folder"/*.log
    rm -rf "$folder"
}
trap finish EXIT

daemons=()
daemon_pids=()
members=""
for vm in 1 2 3; do
    members+="    - { vm: vm$vm, address: \"$net.$vm:8401\" }"$'\n'
    daemons+=("$net.$vm:8400")
done
for vm in 1 2 3; do
    cat > "$folder/vm$vm.yaml" << SETTINGS
vm: { id: vm$vm, data_centre: dc$vm }
entry: { listen: $net.$vm, port: 8400 }
roles: [entry, control]
control:
  listen: $net.$vm:8401
  data_folder: $folder/vm$vm
  bootstrap: true
  members:
$members
SETTINGS
    "$build/src/flamingod/flamingod" --settings="$folder/vm$vm.yaml" 2> "$folder/vm$vm.log" &
    pids+=($!)
    daemon_pids+=($!)
done
ctl() { "$build/src/flamingoctl/flamingoctl" --server="$net.1:8400" "$@"; }
wait_for() { # WORD COUNT STATEMENT
    for _ in $(seq 150); do
        found=$(ctl --output=json "$3" 2> /dev/null | grep -o "\"$1\"" | wc -l || true)
        [ "$found" -ge "$2" ] && return 0
        sleep 0.2
    done
    echo "only $found of $2 in '$3'" >&2
    return 1
}
wait_for admitted 3 "SHOW VMS"
ctl "CREATE SERVICE $site WITH $service_options" > /dev/null
memory() { awk '/VmRSS/ { print $2 }' "/proc/${daemon_pids[0]}/status"; }
echo "resident memory of a daemon without endpoints: $(memory) kB"

# The baseline reads the whole scenario. Four stub processes share its endpoints, so that none is the bottleneck.
cat > "$folder/stub.yaml" << SCENARIO
daemons: ["$net.1:8400", "$net.2:8400", "$net.3:8400"]
faults: { median_ms: $median, p99_ms: $p99, connect_delay_ms: 6 }
services:
  - { name: $site, snapshots: [ { version: 1, shards: $shards } ], replicas: 2, address: $net.100, port: 9000,
      connections: 60, slots: 2, data_centres: [ dc1, dc2, dc3 ] }
SCENARIO
admin=()
stub_pids=()
# Each part is one process: even parts run the first replicas of the shards, odd parts the second ones.
start_stubs() { # PARTS
    for part in "$@"; do
        ids=$(for shard in $(seq $((part / 2)) 2 $((shards - 1))); do echo "$site-$shard-$((part % 2))"; done | paste -sd,)
        "$build/bench/endpoint/stub_endpoint" --only="$ids" --admin-port=$((9900 + part)) \
            <(echo "admin_address: $net.99"; cat "$folder/stub.yaml") > "$folder/stub$part.log" 2>&1 &
        stub_pids[part]=$!
        pids+=($!)
        admin[part]=$((9900 + part))
    done
}
start_stubs 0 1 2 3
wait_for active $((2 * shards)) "SHOW ENDPOINTS OF $site"
http() { # METHOD PORT PATH BODY
    exec 3<> "/dev/tcp/$net.99/$2"
    printf '%s %s HTTP/1.1\r\nHost: stub\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s' "$1" "$3" ${#4} "$4" >&3
    tail -n 1 <&3
    exec 3>&-
}
fault() { # FAULTS [ENDPOINT_IDS]
    for port in "${admin[@]}"; do
        # Each stub applies the faults to those of the ids that it runs. An empty list would mean all its endpoints, so
        # the same list goes to every stub.
        http POST "$port" /stub/faults "{\"faults\":$1${2:+,\"endpoints\":[$2]}}" > /dev/null
    done
}
count() { # COUNTER: sum over the stubs
    for port in "${admin[@]}"; do
        http GET "$port" /stub/counters "" | grep -o "\"$1\":[0-9]*" | tail -n 1 | cut -d: -f2
    done | paste -sd+ | bc
}
metrics() { # Sums over the daemons; they show what caused a difference between two cases.
    for vm in 1 2 3; do
        exec 3<> "/dev/tcp/$net.$vm/8400"
        printf 'GET /metrics HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n' >&3
        grep -aE "^flamingo_(first_attempts|hedges|retries|canary_dup|extra_load_denied|refusals_replaced|hedge_delay|shed_replies).*$site|^flamingo_endpoint_connections_opened" <&3 |
            sed -e 's/{[^}]*}//' -e 's/^flamingo_//'
        exec 3>&-
    done | tr -d '\r' | awk '{ sum[$1] += $2 } END { for (name in sum) printf "%s=%s ", name, sum[name]; print "" }'
}
measure_one() { # NAME RATE [policy|baseline]
    echo "== $site $1: rate $2/s, load average $(cut -d' ' -f1 /proc/loadavg)"
    local options=()
    [ "${3:-}" = policy ] || options+=("--baseline=$folder/stub.yaml")
    [ "${3:-}" = baseline ] || options+=("${daemons[@]}")
    "$build/bench/load/load_tool" --service="$site" --rate="$2" --seconds="$seconds" --seed=1 --texts="${TEXTS:-50}" \
        --pids="$(IFS=,; echo "${daemon_pids[*]}")" --csv="$out/$site-$1${3:+-$3}.csv" \
        --svg="$out/$site-$1${3:+-$3}.svg" "${options[@]}"
}
measure() { # NAME RATE
    measure_one "$1" "$2"
    echo "totals since the start: $(metrics)"
}

# Idle endpoints, each with one connection from every daemon. They run in four processes because of the limit on open
# files.
if [ "$spare_endpoints" -gt 0 ]; then
    for part in 0 1 2 3; do
        ctl "CREATE SERVICE spare$part" > /dev/null
        cat > "$folder/spare$part.yaml" << SCENARIO
daemons: ["$net.1:8400", "$net.2:8400", "$net.3:8400"]
announce_connections: 8
services:
  - { name: spare$part, snapshots: [ { version: 1, shards: $((spare_endpoints / 8)) } ], replicas: 2,
      address: $net.1$((part + 1))0, port: 9000, endpoints_per_address: 200, connections: 3, slots: 1,
      data_centres: [ dc1, dc2, dc3 ] }
SCENARIO
        "$build/bench/endpoint/stub_endpoint" "$folder/spare$part.yaml" > "$folder/spare$part.log" 2>&1 &
        pids+=($!)
    done
    for part in 0 1 2 3; do
        wait_for active $((spare_endpoints / 8 * 2)) "SHOW ENDPOINTS OF spare$part"
    done
fi
sleep 6 # until the daemons give new endpoints their full share of calls
echo "resident memory of a daemon with $((2 * shards + spare_endpoints)) endpoints: $(memory) kB"
for name in $cases; do
    case $name in
        healthy) measure healthy "$rate" ;;
        policy) measure_one policy "$rate" policy ;; # without the baseline
        slow)
            fault '{"slow_fraction":0.01}'
            measure slow "$rate"
            fault '{"slow_fraction":0}'
            ;;
        silent)
            fault '{"silent":true}' "\"$site-3-0\",\"$site-7-1\""
            measure silent "$rate"
            fault '{"silent":false}'
            ;;
        shedding)
            fault '{"shed_fraction":0.1}'
            measure shedding "$rate"
            fault '{"shed_fraction":0}'
            ;;
        lying)
            fault '{"reported_load":0}' "\"$site-1-0\",\"$site-2-1\""
            fault '{"median_ms":20,"p99_ms":60}' "\"$site-1-0\",\"$site-2-1\""
            measure lying "$rate"
            fault "{\"reported_load\":null,\"median_ms\":$median,\"p99_ms\":$p99}"
            ;;
        cold)
            # Restarts the second replica of each shard before each of the two runs.
            sed -i 's/connect_delay_ms/cold_ms: 5000, cold_factor: 5, connect_delay_ms/' "$folder/stub.yaml"
            for run in policy baseline; do
                for part in 1 3; do
                    kill "${stub_pids[part]}"
                    wait "${stub_pids[part]}" || true
                done
                start_stubs 1 3
                sleep 0.5
                measure_one cold "$rate" $run
                sleep 5
            done
            ;;
        overload)
            # Slow endpoints, so that their capacity is the limit instead of the processors of this machine.
            fault '{"median_ms":20,"p99_ms":60}'
            for step in 40 80 120 160 320; do
                shed=$(count shed)
                measure "rate-$step" "$step"
                echo "refused by endpoints: $(($(count shed) - shed))"
            done
            fault "{\"median_ms\":$median,\"p99_ms\":$p99}"
            ;;
        *) echo "unknown case $name" >&2; exit 2 ;;
    esac
done
echo "connections over an endpoint's limit: $(count violations); most on one endpoint: $(for port in "${admin[@]}"; do http GET "$port" /stub/counters "" | grep -o '"connections_peak":[0-9]*' | cut -d: -f2; done | sort -n | tail -n 1)"
