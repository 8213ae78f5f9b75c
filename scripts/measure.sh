#!/usr/bin/env bash
# Runs the load experiments on a local fleet: 8 nodes, 40 engines of 5 speeds and the plain services
# (those without layers) of both deployments, teranga and guild, under load from fbload.
# usage: measure.sh [short|full|EXPERIMENT]
# short takes about 9 minutes, full longer; EXPERIMENT is cost, policies, overload, flood or recovery.
# The table is printed to standard output and written, with its plots, to reports/. The MEASURE_
# variables override the defaults below, except those of full; with MEASURE_KEEP, logs and ledgers stay.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/processes.sh

# offers holds the offered loads relative to the fleet's calculated capacity, and length the measured interval.
size=${1:-short}
case "$size" in
  full) repeats=3; length=6s; offers="0.5 1.0 1.5 2.0" ;;
  *) repeats=${MEASURE_REPEATS:-2}; length=${MEASURE_LENGTH:-4s}; offers=${MEASURE_OFFERED:-0.5 1.0 2.0} ;;
esac

bin=${MEASURE_BIN:-.bin}
run=$(mktemp -d "${TMPDIR:-/tmp}/measure.XXXXXX")
base=${MEASURE_PORT:-13000}
operator=measure-operator
platform=127.0.0.1:$base
tries=400
reports=${MEASURE_REPORTS:-reports}
runs=$reports/runs.jsonl
node_count=8
mixes=${MEASURE_MIXES:-teranga guild}
# Time per layer of each of the 5 kinds of accelerators, in microseconds. A batch over 8 layers takes 32
# to 128 ms, so that the simulated engines, and not the CPU of this machine, limit the throughput.
speeds=(4000 6000 8000 12000 16000)
batch=4
large="large-1 large-2"
small="small-1 small-2 small-3 small-4 small-5 small-6 small-7 small-8"
# mixed gives the accounts' shares of the load.
mixed=large-1=30,large-2=30
for a in $small; do mixed=$mixed,$a=5; done

# end NAME SIGNAL sends the signal to one process that this script started.
end() {
  kill "-$2" "$(cat "$run/$1.pid")" 2>/dev/null || true
  rm -f "$run/$1.pid"
}

# stop_all kills only the processes that this script started.
stop_all() {
  local file
  for file in "$run"/*.pid; do
    [ -e "$file" ] && kill -9 "$(cat "$file")" 2>/dev/null || true
    rm -f "$file"
  done
}

down() {
  stop_all
  if [ -n "${MEASURE_KEEP:-}" ]; then echo "measure: files kept in $run" >&2; else rm -rf "$run"; fi
}
trap down EXIT

# engine NUMBER FROM TO starts one engine; the number selects its kind of accelerator.
engine() {
  local id=engine-$1 address=127.0.0.1:$((base + 100 + $1)) speed=${speeds[$(($1 % 5))]}
  start "$id" $bin/fbstandin engine --id "$id" --listen "$address" --from "$2" --to "$3" \
    --layer-micros "$speed" --batch-limit $batch --accelerator "kind-$speed" --ledger "$run/$id.ledger"
  list_vm "{\"id\":\"$id\",\"role\":\"engine\",\"address\":\"$address\",\"data_centre\":\"plateau\"}"
}

# service NAME REPLICAS OFFSET starts the replicas of one plain service, at ports from base + OFFSET + 1.
service() {
  local i id address
  for i in $(seq "$2"); do
    id=$1-$i address=127.0.0.1:$((base + $3 + i))
    start "$id" $bin/fbstandin service --id "$id" --listen "$address" --ledger "$run/$id.ledger"
    list_vm "{\"id\":\"$id\",\"role\":\"service\",\"service\":\"$1\",\"address\":\"$address\",\"data_centre\":\"plateau\"}"
  done
}

# node NUMBER starts one node, in one of three data centres.
node() {
  local id=node-$1
  start "$id" $bin/entry --node "$id" --data-centre "dc-$(($1 % 3))" --listen "127.0.0.1:$((base + $1))" \
    --peer-listen "127.0.0.1:$((base + 50 + $1))" --platform "$platform" --operator-keys "dakar=$(sha $operator)" --balancer-lag 200ms ${MEASURE_NODE_FLAGS:-}
  list_vm "{\"id\":\"$id\",\"role\":\"entry\",\"address\":\"127.0.0.1:$((base + 50 + $1))\",\"data_centre\":\"dc-$(($1 % 3))\"}"
}

nodes=
for i in $(seq $node_count); do nodes=$nodes${nodes:+,}127.0.0.1:$((base + i)); done

# set_paths PATH=VALUE… changes the configuration.
set_paths() { $bin/fbctl set --nodes "$nodes" --key $operator --team dakar "$@" >/dev/null; }

up() {
  local i from
  start platform $bin/fbstandin platform --listen "$platform" --vm-lag 200ms
  wait_for "http://$platform/v1/vms"
  i=0
  for from in 0 8 16; do
    for _ in $(seq 12); do
      i=$((i + 1))
      engine $i $from $((from + 8))
    done
  done
  # Engines whose ranges overlap those of the others.
  engine 37 0 12
  engine 38 12 24
  engine 39 0 12
  engine 40 12 24
  service ledger 3 70
  service desk 3 80
  service catalogue 2 90
  for i in $(seq $node_count); do node "$i"; done
  for i in $(seq $node_count); do wait_for "http://127.0.0.1:$((base + i))/healthz"; done
  for i in $(seq 40); do wait_for "http://127.0.0.1:$((base + 100 + i))/v1/status"; done
  local paths=()
  for a in $large $small; do paths+=("accounts/$a/key_sha256=$(sha "$a")"); done
  set_paths "${paths[@]}" models/atlas/layers=24 services/ledger/idempotent=false services/desk/idempotent=false \
    services/catalogue/idempotent=true classes/counter/priority=9 classes/counter/deadline_ms=4000 \
    classes/bulk/priority=1 classes/bulk/deadline_ms=12000 classes/record/deadline_ms=5000 \
    classes/claim/deadline_ms=5000 classes/lookup/deadline_ms=2000
  for i in $(seq $node_count); do wait_for "http://127.0.0.1:$((base + i))/readyz"; done
  sleep 1
}

# load FLAG… runs one experiment with fbload.
load() {
  $bin/fbload run --nodes "$nodes" --platform "$platform" --ledgers "$run" --runs "$runs" --length "$length" "$@"
}

# cost uses engines that take almost no time, at a low rate, so that the measured latency is that of the
# router, the stand-ins and the machine.
cost() {
  local i
  for i in $(seq "$repeats"); do
    load --experiment cost --label "engines take no time" --accounts "$mixed" --rate 50 --seed "$i"
  done
}

# policies runs all policies in turn within each repetition, so that runs that are compared are close in
# time.
policies() {
  local mix choice i
  for i in $(seq "$repeats"); do
    for mix in $mixes; do
      for choice in expected random round_robin least_reported; do
        set_paths policy/choice=$choice
        load --experiment policies --mix $mix --choice $choice --accounts "$mixed" --offered 1 --seed "$i"
      done
    done
  done
  set_paths policy/choice=expected
}

overload() {
  local offered i
  for i in $(seq "$repeats"); do
    for offered in $offers; do
      load --experiment overload --label "${offered}x" --accounts "$mixed" --offered $offered --seed "$i"
    done
  done
}

# flood compares a small account alone with the same arrivals while a large account overloads the fleet.
flood() {
  local i
  for i in $(seq "$repeats"); do
    load --experiment flood --label alone --accounts small-1=1 --watched small-1 --offered 0.1 --seed "$i"
    load --experiment flood --label flooded --accounts large-1=19,small-1=1 --watched small-1 --offered 2 --seed "$i"
  done
}

# fault NAME… kills the processes 3 s after the measured interval begins, which is after a warm-up of 4 s,
# and writes the time to a file.
fault() {
  local name
  sleep 7
  date +%s%3N >"$run/fault"
  for name in "$@"; do end "$name" KILL; done
}

recovery() {
  fault engine-1 &
  load --experiment recovery --label "stage dies" --accounts "$mixed" --offered 0.6 --fault-file "$run/fault" --fault-target engine-1 --length 9s
  wait $!
  curl -fs -X DELETE "http://$platform/v1/vms?id=engine-1" || true
  # Wait for the VM list, which lags.
  sleep 1
  fault node-8 &
  load --experiment recovery --label "node dies" --accounts "$mixed" --offered 0.6 --fault-file "$run/fault" --length 9s
  wait $!
}

# without_engine_time runs the cost experiment on a separate fleet whose engines take almost no time, 1 µs
# per layer.
without_engine_time() {
  local real=("${speeds[@]}")
  speeds=(1 1 1 1 1)
  up
  cost
  stop_all
  rm -f "$run"/*.ledger
  speeds=("${real[@]}")
  sleep 1
}

mkdir -p "$reports"
rm -f "$runs"
case "$size" in
  cost) without_engine_time ;;
  policies | overload | flood | recovery) up; $size ;;
  *) without_engine_time; up; policies; overload; flood; recovery ;;
esac
$bin/fbload report --runs "$runs" --folder "$reports"
