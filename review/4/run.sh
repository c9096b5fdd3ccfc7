#!/usr/bin/env bash
# Exits with 1 if a request reached a backend too late after its departure, 0 if none did, 2 if the case could not run.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/review/departure ] || exit 2
if [ -z "${KEEP_LOGS:-}" ]; then
    TMPDIR=$(mktemp -d) || exit 2
    export TMPDIR
    trap 'rm -rf "$TMPDIR"' EXIT
fi
RECORD="$folder/record.txt" timeout --signal=TERM 110 target/review/departure
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
