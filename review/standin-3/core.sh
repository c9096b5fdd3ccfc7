# Functions for scripts that start core machines as processes: one process of the role `control` for each machine, each
# on a loopback address of its own, with settings as the template platform/core.yaml gives them.

repository=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
operator=$repository/target/review-3/operator
launch=$repository/target/review-3/launch
# The first word of the command in deploy/system.toml; the settings file lies in the temporary folder.
program=$repository/$(sed -n 's/^run = "\([^ ]*\) .*/\1/p' "$repository/deploy/system.toml" | head -n 1)
work=$(mktemp -d)
network=127.$((64 + $$ / 250 % 120)).$(($$ % 250))
case_folder=$(cd "$(dirname "$0")" && pwd)
record_file=$case_folder/record.txt
: > "$record_file"
started_at=$(date +%s%N)
declare -A pids
seeds="1 2 3"

# Prints the seconds since the start of the script.
now() { awk -v from="$started_at" -v to="$(date +%s%N)" 'BEGIN { printf "%.3f", (to - from) / 1e9 }'; }

record() { echo "$(now) $*" >> "$record_file"; }

address() { echo "$network.$1"; }

finish() {
    for machine in "${!pids[@]}"; do
        kill -CONT "${pids[$machine]}" 2> /dev/null
        kill -KILL "${pids[$machine]}" 2> /dev/null
    done
    [ -z "$(compgen -A variable reports_started)" ] || sleep 1.3 # the last pause between two reports of a server
    [ -n "${KEEP:-}" ] || rm -rf "$work"
}
trap finish EXIT
# A script that takes too long ends as one that could not run. Every foreground command takes less than 15 s.
time_limit_s=100
trap 'fail_to_run "it took longer than $time_limit_s s"' USR1
(
    while [ $SECONDS -lt $time_limit_s ]; do
        sleep 1
        kill -0 $$ 2> /dev/null || exit
    done
    kill -USR1 $$
) &
pids[limit]=$!
disown

fail_to_run() {
    record "the case could not run: $*"
    exit 2
}

[ -x "$program" ] && [ -x "$operator" ] && [ -x "$launch" ] || fail_to_run "a program is missing; run the build and review/build-3.sh"

# start_core MACHINE BOOTSTRAP
start_core() {
    local ip list="" seed
    ip=$(address "$1")
    for seed in $seeds; do
        list="$list${list:+, }\"$(address "$seed"):8106\""
    done
    mkdir -p "$work/disk$1"
    cat > "$work/node$1.yaml" << END
vm:
  id: "core-$1"
  data_centre: "zone-a"
roles: [control]
control:
  listen: $ip:7380
  api: $ip:8106
  data_folder: "$work/disk$1"
  bootstrap: $2
  endpoint_heartbeat: 1200 ms
  tolerated_losses: 2
seeds:
  addresses: [$list]
  link_port: 7380
metrics: $ip:7395
shutdown:
  grace: 6 s
END
    "$launch" "$program" "--settings=$work/node$1.yaml" >> "$work/log$1.txt" 2>&1 &
    pids[$1]=$!
    disown
    record "machine $1 starts (bootstrap $2)"
}

freeze() {
    kill -STOP "${pids[$1]}"
    record "machine $1 freezes"
}

thaw() {
    kill -CONT "${pids[$1]}"
    record "machine $1 wakes"
}

# remove MACHINE [SIGNAL]: the machine is gone for good.
remove() {
    kill "-${2:-KILL}" "${pids[$1]}"
    while kill -0 "${pids[$1]}" 2> /dev/null; do
        sleep 0.05
    done
    unset "pids[$1]"
    record "machine $1 is gone for good (${2:-KILL})"
}

# The machine loses its disk and is down until it is started again.
lose_disk() {
    kill -KILL "${pids[$1]}"
    rm -rf "$work/disk$1"
    record "machine $1 is down and loses its disk"
}

# configuration VERSION: prints one with a single route.
configuration() {
    echo "{\"version\":$1,\"routes\":[{\"name\":\"r\",\"hostname\":\"h.example\",\"pathPrefix\":\"/v$1/\",\"routeType\":\"idempotent\",\"timeoutMs\":1000,\"service\":\"s\",\"maxAttempts\":2}],\"services\":[{\"name\":\"s\",\"healthPath\":\"/health\",\"maxConnections\":50}]}"
}

# call MACHINE METHOD PATH [BODY]: sets status, answered_by and body.
call() {
    local answer
    answer=$("$operator" "$(address "$1"):8106" "$2" "$3" "${4:-}")
    read -r status answered_by body <<< "$answer"
    answered_by=${answered_by%:*}
    answered_by=${answered_by##*.}
}

# replace VERSION MACHINE...: sends the configuration to the machines in turn until one acknowledges it.
# Fails if none does within replace_seconds.
replace_seconds=${replace_seconds:-20}
replace() {
    local version=$1 until=$((SECONDS + replace_seconds)) machine
    shift
    while [ $SECONDS -lt $until ]; do
        for machine in "$@"; do
            call "$machine" POST /api/Config.Replace "$(configuration "$version")"
            record "configuration $version sent to machine $machine: $status from machine $answered_by"
            [ "$status" = 200 ] && return 0
        done
        sleep 0.2
    done
    return 1
}

# read_version MACHINE: reads the configuration and sets version; it is empty without an answer of status 200.
read_version() {
    call "$1" GET /api/Config.Read
    version=""
    [ "$status" = 200 ] && version=$(sed -n 's/.*"version":\([0-9]*\).*/\1/p' <<< "$body")
    record "configuration read at machine $1: $status from machine $answered_by, version ${version:-none}"
}

# Sets leader to the machine that the others name, or fails after 10 s.
find_leader() {
    local until=$((SECONDS + 10))
    while [ $SECONDS -lt $until ]; do
        read_version "$1"
        leader=$answered_by
        [ "$status" = 200 ] && return 0
        sleep 0.2
    done
    return 1
}

# Starts machines 1 to 5 with empty disks, has configuration 20 acknowledged once the first start lies further back
# than catchUpS, and sets leader.
start_five_and_find_leader() {
    local machine
    for machine in 1 2 3 4 5; do
        start_core $machine true
    done
    replace 10 1 2 3 4 5 || fail_to_run "the first configuration was not acknowledged"
    sleep 6
    replace 20 1 2 3 4 5 || fail_to_run "the second configuration was not acknowledged"
    find_leader 1 || fail_to_run "no machine answers a read"
    record "machine $leader leads"
}

# Prints the last of the seeds that is not the leader.
seed_that_does_not_lead() { echo "$seeds" | tr ' ' '\n' | grep -v "^$leader\$" | tail -n 1; }

# other_seeds MACHINE
other_seeds() { echo "$seeds" | tr ' ' '\n' | grep -v "^$1\$"; }

# Prints the machines that were started and not removed.
running() { echo "${!pids[@]}" | tr ' ' '\n' | grep '^[0-9]*$' | sort; }

# Sends one version after the other, each to another machine, and sets acknowledged to the last that was acknowledged.
send_versions_to_all() {
    local machine sent=$acknowledged
    replace_seconds=8
    for machine in $(running); do
        sent=$((sent + 1))
        replace $sent "$machine" && acknowledged=$sent
    done
}

# check_reads VERSION: reads the configuration at each machine; sets broken to 1 if one answers with an older version.
check_reads() {
    local machine
    broken=0
    for machine in $(running); do
        read_version "$machine"
        if [ -n "$version" ] && [ "$version" -lt "$1" ]; then
            record "BROKEN: machine $machine answers a read with version $version; $1 was acknowledged before"
            broken=1
        fi
    done
}

# read_back VERSION: the operator reads the configuration back at every machine for 20 s, until one has the version.
# Sets broken to 1 if none has it.
read_back() {
    local machine newest=0 until=$((SECONDS + 20))
    while [ "$newest" -lt "$1" ] && [ $SECONDS -lt $until ]; do
        for machine in $(running); do
            read_version "$machine"
            [ -n "$version" ] && [ "$version" -gt "$newest" ] && newest=$version
        done
        sleep 1
    done
    broken=0
    if [ "$newest" -lt "$1" ]; then
        record "BROKEN: no machine has configuration $1, which was acknowledged"
        broken=1
    fi
}

# start_front NAME: starts an entry machine with settings as the template platform/front.yaml gives them.
start_front() {
    local ip list="" seed
    ip=$(address "$1")
    for seed in $seeds; do
        list="$list${list:+, }\"$(address "$seed"):8106\""
    done
    cat > "$work/node$1.yaml" << END
vm:
  id: "front-$1"
  data_centre: "zone-a"
roles: [routes]
routes:
  listen: $ip:8104
  health: $ip:8108
  merge_port: 7380
  extra_load_share: 0.2
  extra_load_calls: 116
  quota_slack:
seeds:
  addresses: [$list]
  link_port: 7380
metrics: $ip:7395
limits:
  memory_mb: 182
  descriptors: 2870
shutdown:
  grace: 6 s
END
    "$launch" "$program" "--settings=$work/node$1.yaml" >> "$work/log$1.txt" 2>&1 &
    pids[$1]=$!
    disown
    record "front machine $1 starts"
}

# exchange_seeds SEED...: the settings of all machines name these seeds; each machine gets SIGHUP.
exchange_seeds() {
    local machine seed list=""
    seeds="$*"
    for seed in $seeds; do
        list="$list${list:+, }\"$(address "$seed"):8106\""
    done
    for machine in $(running); do
        [ -e "$work/node$machine.yaml" ] || continue
        sed "s|^  addresses: .*|  addresses: [$list]|" "$work/node$machine.yaml" > "$work/settings"
        mv "$work/settings" "$work/node$machine.yaml"
        kill -HUP "${pids[$machine]}"
    done
    record "the settings name the seeds $seeds"
}

# start_server MACHINE SERVICE [BYTES [RUNS]]: a server that reports to the control machines every 1.2 s until the script ends.
start_server() {
    local instance=i-$1 born machine
    born=$(date +%s%3N)
    "$launch" "$repository/target/review-3/server" "$(address "$1"):9000" "$instance" "${@:3}" &
    pids[$1]=$!
    disown
    record "server $1 of service $2 starts"
    (
        sequence=0
        while kill -0 $$ 2> /dev/null; do
            for machine in 1 2 4 5; do
                sequence=$((sequence + 1))
                [ "$("$operator" "$(address $machine):8106" POST "/api/Instances.Heartbeat/$instance" \
                    "{\"service\":\"$2\",\"address\":\"$(address "$1"):9000\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":2,\"state\":\"ready\",\"coldRemainingMs\":0,\"seq\":$sequence,\"born\":$born}" \
                    | cut -c1-3)" = 200 ] && break
            done
            sleep 1.2
        done
    ) &
    pids[reports$1]=$!
    disown
    reports_started=yes
}

# request FRONT PATH: sends one request of a consumer and sets status; 000 without an answer within 2 s.
request() {
    local line=""
    requests=$((${requests:-0} + 1))
    if { exec 9<> "/dev/tcp/$(address "$1")/8104"; } 2> /dev/null; then
        printf 'GET %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: request-%s\r\nRequest-Deadline: 1000\r\nConnection: close\r\n\r\n' \
            "$2" "$requests" >&9
        read -r -t 2 -u 9 line
        exec 9>&-
    fi
    status=$(cut -d ' ' -f 2 <<< "$line")
    status=${status:-000}
    record "request $requests for $2 at front machine $1: $status"
}
