#!/usr/bin/env bash
# Runs a local fleet on loopback: one platform stand-in, six engines for three layer ranges, two
# replicas of a plain service (a service without layers) and three nodes. usage: fleet.sh up|down|demo|run
# up starts the fleet, down stops it, demo runs "fbload demo" on it, and run prints commands to try and
# keeps it until Ctrl-C. FLEET_DIR is the directory of its files, FLEET_PORT the first of its ports.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/processes.sh

bin=.bin
run=${FLEET_DIR:-.run}
base=${FLEET_PORT:-18000}
key=demo-key
operator=demo-operator
platform=127.0.0.1:$base
tries=200
nodes=127.0.0.1:$((base + 1)),127.0.0.1:$((base + 2)),127.0.0.1:$((base + 3))

# configure sets the first configuration. It retries on exit code 5, which fbctl returns while a node
# is still starting.
configure() {
  local code=0
  for _ in $(seq 50); do
    code=0
    $bin/fbctl set --nodes "$nodes" --key $operator --team dakar "accounts/studio/key_sha256=$(sha $key)" \
      models/atlas/layers=24 services/ledger/idempotent=false services/ledger/ask_path=/ran \
      classes/counter/priority=9 classes/bulk/priority=1 || code=$?
    [ $code -eq 5 ] || return $code
    sleep 0.1
  done
  return $code
}

up() {
  mkdir -p "$run"
  rm -f "$run"/*.ledger "$run"/*.pid
  start platform $bin/fbstandin platform --listen "$platform" --vm-lag 200ms
  wait_for "http://$platform/v1/vms"
  # speed is the time per layer in microseconds.
  local i=0 from speed
  for from in 0 8 16; do
    for speed in 200 500; do
      i=$((i + 1))
      start "engine-$i" $bin/fbstandin engine --id "engine-$i" --listen "127.0.0.1:$((base + 20 + i))" \
        --from $from --to $((from + 8)) --layer-micros $speed --accelerator "kind-$speed" --ledger "$run/engine-$i.ledger"
      list_vm "{\"id\":\"engine-$i\",\"role\":\"engine\",\"address\":\"127.0.0.1:$((base + 20 + i))\",\"data_centre\":\"plateau\"}"
    done
  done
  for i in 1 2; do
    start "ledger-$i" $bin/fbstandin service --id "ledger-$i" --listen "127.0.0.1:$((base + 40 + i))" --ledger "$run/ledger-$i.ledger"
    list_vm "{\"id\":\"ledger-$i\",\"role\":\"service\",\"service\":\"ledger\",\"address\":\"127.0.0.1:$((base + 40 + i))\",\"data_centre\":\"plateau\"}"
  done
  for i in 1 2 3; do
    start "node-$i" $bin/entry --node "node-$i" --data-centre plateau --listen "127.0.0.1:$((base + i))" \
      --peer-listen "127.0.0.1:$((base + 10 + i))" --platform "$platform" --operator-keys "dakar=$(sha $operator)" --balancer-lag 200ms
    list_vm "{\"id\":\"node-$i\",\"role\":\"entry\",\"address\":\"127.0.0.1:$((base + 10 + i))\",\"data_centre\":\"plateau\"}"
  done
  wait_for "http://127.0.0.1:$((base + 1))/healthz"
  configure
  for i in 1 2 3; do wait_for "http://127.0.0.1:$((base + i))/readyz"; done
}

# down stops only the processes that up started.
down() {
  local file
  for file in "$run"/*.pid; do
    [ -e "$file" ] || continue
    kill "$(cat "$file")" 2>/dev/null || true
  done
  for file in "$run"/*.pid; do
    [ -e "$file" ] || continue
    for _ in $(seq 100); do
      kill -0 "$(cat "$file")" 2>/dev/null || break
      sleep 0.05
    done
    kill -9 "$(cat "$file")" 2>/dev/null || true
    rm -f "$file"
  done
}

demo() {
  trap down EXIT
  up
  $bin/fbload demo --nodes "$nodes" --key $key --operator-key $operator --ledgers "$run"
}

run_by_hand() {
  trap down EXIT
  up
  cat <<TEXT

The fleet is running; press Ctrl-C to stop it. Try:

curl -N http://127.0.0.1:$((base + 1))/v1/chat/completions -H 'Authorization: Bearer $key' -d '{"model":"atlas","max_tokens":20,"stream":true,"messages":[{"role":"user","content":"a payment reminder"}]}'
curl -i http://127.0.0.1:$((base + 2))/services/ledger/payments -H 'Authorization: Bearer $key' -H 'Idempotency-Key: payment-1' -d '{"amount":50000}'
$bin/fbctl status --nodes $nodes --key $operator
$bin/fbctl set --nodes $nodes --key $operator --team dakar accounts/studio/weight=10

TEXT
  sleep infinity
}

case "${1:-}" in
  up) up ;;
  down) down ;;
  demo) demo ;;
  run) run_by_hand ;;
  *) echo "usage: fleet.sh up|down|demo|run" >&2; exit 2 ;;
esac
