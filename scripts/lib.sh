# Functions shared by the scripts that run a fleet on this machine. A script sets
# name, its directory under out/, and sources this file.

root="$PWD"
out="$root/out/$name"
bin="$root/.bin"
key="$name-shared-key-0123456789"
pids=()
nodes=()
journals=()
seed=""

# stop_processes ends the processes that this script has started. The log, which is
# started first, is stopped last.
stop_processes() {
  for pid in "${pids[@]:1}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]:1}"; do wait "$pid" 2>/dev/null || true; done
  kill -TERM "${pids[0]}" 2>/dev/null || true
}

# start_process NAME COMMAND...: runs a command in the background and writes its output
# to NAME.log.
start_process() {
  local log_name="$1"
  shift
  "$@" >"$out/$log_name.log" 2>&1 &
  pids+=($!)
}

# await_address FILE: waits up to 5 s until a process has written its address.
await_address() {
  for _ in $(seq 100); do
    [ -s "$1" ] && return
    sleep 0.05
  done
  echo "no address in $1 after 5 s" >&2
  exit 1
}

# address_of FILE NAME: prints one address of a node's address file.
address_of() { sed -E "s/.*\"$2\":\"([^\"]*)\".*/\1/" "$1"; }

# join VALUES...: prints the values separated by commas.
join() { local IFS=,; echo "$*"; }

# build_and_start_log builds the programs and starts the platform's log.
build_and_start_log() {
  rm -rf "$out"
  mkdir -p "$out" "$bin"
  GOFLAGS="${GOFLAGS:-} -buildvcs=false" go build -o "$bin/" ./cmd/...
  trap stop_processes EXIT
  start_process log "$bin/egretlog" -address-file "$out/log.addr"
  await_address "$out/log.addr"
  log="http://$(cat "$out/log.addr")"
  export EGRETFIELD_LOG="$log" EGRETFIELD_KEY="$key" EGRETFIELD_OPERATOR="$name"
}

# start_node INSTANCE REGION DATA_CENTRE [SETTINGS LINE]...: starts a node.
start_node() {
  local instance="$1" region="$2" data_centre="$3"
  shift 3
  {
    printf 'instance: %s\nregion: %s\ndata_centre: %s\n' "$instance" "$region" "$data_centre"
    printf 'log_url: %s\nshared_key: %s\nseeds: [%s]\n' "$log" "$key" "$seed"
    for line in "$@"; do printf '%s\n' "$line"; done
  } >"$out/$instance.yaml"
  start_process "node-$instance" env ${NODE_ENV:-} "$bin/egretnode" -settings "$out/$instance.yaml" -address-file "$out/$instance.addr"
  await_address "$out/$instance.addr"
  seed="$(address_of "$out/$instance.addr" control)"
  export EGRETFIELD_NODE="$seed"
  nodes+=("$(address_of "$out/$instance.addr" caller)")
}

# start_server INSTANCE SERVICE [FLAGS]...: starts the backend server of a node.
start_server() {
  local instance="$1" service="$2"
  shift 2
  start_process "server-$instance" "$bin/egretserver" -service "$service" -name "$instance" \
    -announce "$(address_of "$out/$instance.addr" announce)" -caller "$(address_of "$out/$instance.addr" caller)" \
    -admin-address-file "$out/$instance.admin" -address-file "$out/$instance.server" "$@"
  await_address "$out/$instance.admin"
  journals+=("$(cat "$out/$instance.admin")")
}

# await_ready COUNT: waits until COUNT nodes report that they are ready. Fails if they
# don't within 10 s, or later if the queries are slow.
await_ready() {
  for _ in $(seq 50); do
    [ "$("$bin/egretctl" status -o json | grep -o '"ready": *true' | wc -l)" -ge "$1" ] && return
    sleep 0.2
  done
  echo "fewer than $1 nodes are ready" >&2
  exit 1
}
