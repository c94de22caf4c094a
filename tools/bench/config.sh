#!/usr/bin/env bash
# Measures how fast configuration changes are in force on 13 entry processes on this machine, with
# the store answering and during an outage, and counts the store's calls at rest and in change.
# usage: tools/bench/config.sh [BINARY] [CHANGES]
# Ends by itself; ends only the processes that it started, by their ids.
set -euo pipefail
cd "$(dirname "$0")/../.."

binary=$(realpath "${1:-build/release/sniperock}")
changes=${2:-500}
entries=13
store_port=17100
first_port=17200
work=$(mktemp -d)
pids=()

finish() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    rm -rf "$work"
}
trap finish EXIT

export SNIPEROCK_KEY="benchmark key"
hash=$(printf '%s' "$SNIPEROCK_KEY" | sha256sum | cut -d' ' -f1)

"$binary" standin platform --port $store_port --list-lag-ms 200 >"$work/platform.log" 2>&1 &
pids+=($!)
for ((number = 0; number < entries; number++)); do
    port=$((first_port + 3 * number))
    cat >"$work/vm-$number.ini" <<END
[vm]
name = vm-$number
failure_domain = domain-$((number % 3))
[callers]
port = $port
[admin]
port = $((port + 1))
first_key_sha256 = $hash
[peers]
port = $((port + 2))
[store]
port = $store_port
rate = 200
END
    "$binary" entry --settings "$work/vm-$number.ini" >"$work/vm-$number.log" 2>&1 &
    pids+=($!)
done

admin() { echo "127.0.0.1:$((first_port + 3 * ($1 % entries) + 1))"; }
ctl() { local vm=$1; shift; "$binary" ctl --server "$(admin "$vm")" --json "$@"; }
counts() { curl -s "127.0.0.1:$store_port/standin/counts"; }
faults() { curl -s -X POST -d "$1" "127.0.0.1:$store_port/standin/faults" >/dev/null; }
field() { sed -n "s/^ *\"$1\": \([0-9]*\),*$/\1/p"; }
# Prints how many numbers came in and their 50, 99 and 100 in 100, from microseconds to ms.
quantiles() {
    sort -n | awk '{ v[NR] = $1 / 1000 } END {
        if (NR == 0) { print "no values"; exit 1 }
        p = int(NR * 0.99 + 0.999999); m = int(NR * 0.5 + 0.999999);
        printf "%d values: 50%% %.1f ms, 99%% %.1f ms, most %.1f ms\n", NR, v[m], v[p], v[NR] }'
}

# Every vm must be heard by the first before anything is measured.
for ((try = 0; try < 300; try++)); do
    reached=$(ctl 0 status 2>/dev/null | grep -c '"reached": true' || true)
    [[ $reached -eq $entries ]] && break
    sleep 0.1
done
[[ $reached -eq $entries ]] || { echo "only $reached of $entries vms were heard"; exit 1; }

cat >"$work/services.json" <<END
{"schema": 1, "services": [{"name": "portal", "path_prefix": "/", "servers": [
 {"name": "a", "address": "127.0.0.1", "port": 9, "failure_domain": "domain-0", "slots": 3},
 {"name": "b", "address": "127.0.0.1", "port": 9, "failure_domain": "domain-1", "slots": 3}]}]}
END
ctl 0 --wait 10 services put "$work/services.json" >/dev/null

# Calls a second between two counts, by kind.
rates() {
    for kind in reads writes watches lists; do
        before=$(echo "$1" | sed "s/.*\"$kind\":\([0-9]*\).*/\1/")
        after=$(echo "$2" | sed "s/.*\"$kind\":\([0-9]*\).*/\1/")
        awk -v k="$kind" -v n=$((after - before)) -v t="$3" 'BEGIN { printf "%s %.1f/s  ", k, n / t }'
    done
    echo
}

echo "cores $(nproc), memory $(awk '/MemTotal/ { printf "%d MB", $2 / 1024 }' /proc/meminfo), load $(cut -d' ' -f1-3 /proc/loadavg)"
before=$(counts)
sleep 10
echo "store calls at rest, $entries vms: $(rates "$before" "$(counts)" 10)"

# run NAME FILE COUNT: takes a failure domain out and in in turn, each through another vm.
run() {
    local failed=0
    for ((number = 0; number < $3; number++)); do
        way=$([[ $((number % 2)) -eq 0 ]] && echo out || echo in)
        ctl "$number" --wait 10 domain "$way" domain-2 >"$work/answer" 2>>"$work/errors" || [[ $? -eq 7 ]] || failed=$((failed + 1))
        if grep -q '"in_force_after_us"' "$work/answer" &&
            grep -q '"behind": \[\]' "$work/answer" && grep -q '"not_reached": \[\]' "$work/answer"; then
            field in_force_after_us <"$work/answer" >>"$2.force"
            field accepted_after_us <"$work/answer" >>"$2.accepted"
        else
            failed=$((failed + 1))
        fi
    done
    echo "$1: $failed of $3 not in force on all $entries vms within 10 s"
    echo "  arrival to accepted: $(quantiles <"$2.accepted")"
    echo "  accepted to in force on the last vm: $(quantiles <"$2.force")"
}

before=$(counts)
began=$(date +%s)
run "changes" "$work/up" "$changes"
echo "store calls in change: $(rates "$before" "$(counts)" $(($(date +%s) - began + 1)))"

faults '{"down": true}'
sleep 1
run_outage() {
    for ((number = 0; number < $1; number++)); do
        way=$([[ $((number % 2)) -eq 0 ]] && echo out || echo in)
        ctl "$number" domain "$way" domain-1 >"$work/answer" 2>>"$work/errors" || true
        if grep -q '"outcome": "unrecorded"' "$work/answer" &&
            grep -q '"behind": \[\]' "$work/answer" && grep -q '"not_reached": \[\]' "$work/answer"; then
            awk -v a="$(field accepted_after_us <"$work/answer")" -v b="$(field in_force_after_us <"$work/answer")" 'BEGIN { print a + b }' >>"$work/outage"
        fi
    done
}
run_outage 50
echo "take-outs and bring-backs in a store outage, arrival to held on all $entries vms (of 50): $(quantiles <"$work/outage")"
faults '{"down": false}'
began=$(date +%s%N)
for ((try = 0; try < 300; try++)); do
    ctl 0 status | grep -q '"unrecorded": \[\],' && left=$(ctl 0 status | grep -c '"change_id"' || true) && [[ $left -eq 0 ]] && break
    sleep 0.1
done
echo "recorded $((($(date +%s%N) - began) / 1000000)) ms after the store came back; left unrecorded: ${left:-unknown}"
for pid in "${pids[@]:1:1}"; do
    echo "one entry process: $(awk '/VmRSS/ { printf "%d MB resident", $2 / 1024 }' /proc/"$pid"/status)"
done
