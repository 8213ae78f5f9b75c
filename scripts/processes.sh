# Functions of the scripts that start a local fleet. They use $run (the folder of logs and
# process ids), $platform (host:port) and $tries (20 a second for an answer).

sha() { printf %s "$1" | sha256sum | cut -d' ' -f1; }

# start NAME COMMAND… starts a process and remembers its id.
start() {
  local name=$1
  shift
  "$@" >"$run/$name.out" 2>"$run/$name.log" &
  echo $! >"$run/$name.pid"
  disown $!
}

# wait_for URL waits until the URL answers 2xx.
wait_for() {
  for _ in $(seq "$tries"); do
    if curl -fs -o /dev/null "$1"; then return 0; fi
    sleep 0.05
  done
  echo "$(basename "$0" .sh): $1 did not answer" >&2
  return 1
}

list_vm() { curl -fs -X PUT "http://$platform/v1/vms" -d "$1"; }
