# Functions for scripts that start a local fleet. They use $run (the directory for logs and process
# ids), $platform (host:port of the platform stand-in) and $tries (the maximum number of polls of a URL,
# one every 50 ms).

# sha KEY prints the SHA-256 of a bearer key in hex.
sha() { printf %s "$1" | sha256sum | cut -d' ' -f1; }

# start NAME COMMAND… starts a process and writes its id to $run/NAME.pid.
start() {
  local name=$1
  shift
  "$@" >"$run/$name.out" 2>"$run/$name.log" &
  echo $! >"$run/$name.pid"
  disown $!
}

# wait_for URL polls the URL until it answers 2xx, and fails after $tries polls.
wait_for() {
  for _ in $(seq "$tries"); do
    if curl -fs -o /dev/null "$1"; then return 0; fi
    sleep 0.05
  done
  echo "$(basename "$0" .sh): $1 did not answer 2xx after $tries attempts" >&2
  return 1
}

# list_vm JSON adds the VM to the platform's VM list.
list_vm() { curl -fs -X PUT "http://$platform/v1/vms" -d "$1"; }
