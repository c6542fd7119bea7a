# Functions of scripts/slopes: they start a fleet of a given size, sample its metrics and
# fit lines to them.

idle_s="${IDLE_S:-10}"
sample_s="${SAMPLE_S:-15}"
publishes="${PUBLISHES:-5}"
services=56
places=(north/taipei north/taoyuan north/hsinchu central/taichung central/changhua south/kaohsiung south/tainan)

# write_config FILE VERSION: writes a configuration of 56 services with two routes each.
# A deadline depends on VERSION, so that no two versions are equal.
write_config() {
  {
    echo "services:"
    for i in $(seq "$services"); do
      printf '  - {name: service%02d, hosts: [service%02d.example], routes: [' "$i" "$i"
      printf '{path_prefix: /pages, methods: [GET, HEAD], class: CLASS_CRITICAL, deadline_ms: %d}, ' $((1000 + $2))
      printf '{path_prefix: /orders, methods: [POST], require_key: true, max_body_bytes: 1048576}]}\n'
    done
    echo "presets: [{name: ordinary}, {name: peak, policy: {max_attempts: 2, queue_percent: 50}}]"
    echo "default_preset: ordinary"
  } >"$1"
}

# service_of NUMBER: prints the service of a node's backend server.
service_of() { printf 'service%02d' $((($1 - 1) % 8 + 1)); }

# kill_fleet kills the fleet, which has no data worth keeping.
kill_fleet() {
  kill -KILL "${pids[@]}" 2>/dev/null || true
  wait "${pids[@]}" 2>/dev/null || true
}

# start_fleet SIZE: starts SIZE nodes with a backend server each.
start_fleet() {
  name="slopes/$1"
  . scripts/lib.sh
  build_and_start_log
  trap kill_fleet EXIT
  ops=() node_pids=() server_pids=() controls=()
  local i place instance
  for i in $(seq "$1"); do
    place="${places[$(((i - 1) % ${#places[@]}))]}"
    instance="node$i"
    start_node "$instance" "${place%/*}" "${place#*/}" "gc_percent: ${GC_PERCENT:-100}" "max_procs: ${MAX_PROCS:-2}"
    node_pids+=("${pids[-1]}")
    ops+=("$(address_of "$out/$instance.addr" ops)")
    controls+=("$(address_of "$out/$instance.addr" control)")
    start_server "$instance" "$(service_of "$i")" -slots 10
    server_pids+=("${pids[-1]}")
  done
  await_members
  write_config "$out/config.yaml" 0
  "$bin/egretctl" publish -reason "first" "$out/config.yaml" >"$out/publish.txt"
  await_ready "$1"
}

# await_members waits until all nodes see all nodes alive. Fails if they don't within 60 s,
# or later if the queries are slow.
await_members() {
  for _ in $(seq 300); do
    [ "$(curl -s "${ops[@]/%//metrics}" | grep -c "^egretfield_member_members.*ALIVE\"} ${#ops[@]}$")" = "${#ops[@]}" ] && return
    sleep 0.2
  done
  echo "not all nodes see all nodes alive" >&2
  exit 1
}

# next_offset STREAM: prints the offset of the next record of a stream.
next_offset() { curl -s "$log/streams/$1/bounds" | grep -o '[0-9]*' | tail -1; }

# log_bytes prints the bytes sent and received so far on the log's open connections.
log_bytes() {
  ss -tinH state established "sport = :${log##*:}" |
    grep -oE 'bytes_(sent|received):[0-9]+' | awk -F: '{s += $2} END {print s + 0}'
}

# sample FILE: writes the metrics of all nodes and the next offsets of the log's streams.
sample() {
  local i
  : >"$1"
  for i in "${!ops[@]}"; do
    curl -s "http://${ops[$i]}/metrics" | grep -v '^#' | sed "s/^/$i /" >>"$1"
    awk -v i="$i" '{print i, "cpu_ticks", $14 + $15}' "/proc/${node_pids[$i]}/stat" >>"$1"
    awk -v i="$i" '/^(RssAnon|RssFile):/ {print i, $1, $2 * 1024}' "/proc/${node_pids[$i]}/status" >>"$1"
    awk -v i="$i" '/^(Rss|Pss|Anonymous|Private_Dirty):/ {print i, "map_" $1, $2 * 1024}' "/proc/${node_pids[$i]}/smaps_rollup" >>"$1"
  done
  echo "log bytes $(log_bytes)" >>"$1"
  awk '{print "log", "cpu_ticks", $14 + $15}' "/proc/${pids[0]}/stat" >>"$1"
  local stream
  for stream in config members keepers; do
    echo "log $stream $(next_offset "egretfield-$stream")" >>"$1"
  done
}

# steady SIZE: prints a line with the means per node of a fleet without load.
steady() {
  start_fleet "$1" >&2
  sleep "$idle_s"
  sample "$out/before.txt"
  local start end
  start=$(date +%s%3N)
  sleep "$sample_s"
  end=$(date +%s%3N)
  sample "$out/after.txt"
  rates "$1" $((end - start))
}

# rates SIZE MILLISECONDS: prints the means per node from the two samples.
rates() {
  awk -v n="$1" -v ms="$2" -v tick="$(getconf CLK_TCK)" '
    { value = $NF; key = $1 " " $2 }
    $1 == "log" { if (FNR == NR) first[key] = value; else add["log_" $2] += value - first[key]; next }
    $2 ~ /^egretfield_log_(reads|records_read)_total/ {
      match($0, /stream="egretfield-[a-z]+/); name = $2; sub(/_total.*/, "", name); sub(/egretfield_/, "", name)
      add[name "_" substr($0, RSTART + 19, RLENGTH - 19)] += (FNR == NR ? -1 : 1) * value; next }
    $2 ~ /^(cpu_ticks|egretfield_peer_bytes_total|egretfield_peer_messages_total|egretfield_budget_bytes_total)/ {
      split($2, part, "{"); sum = part[1]; sign = FNR == NR ? -1 : 1; add[sum] += sign * value; next }
    FNR != NR { last[$2] += value }
    END {
      s = ms / 1000
      printf "%d\tcpu_percent=%.4f\tpeer_bytes_s=%.1f\tpeer_messages_s=%.2f\tbudget_bytes_s=%.1f", n,
        100 * add["cpu_ticks"] / tick / s / n, add["egretfield_peer_bytes_total"] / s / n,
        add["egretfield_peer_messages_total"] / s / n, add["egretfield_budget_bytes_total"] / s / n
      printf "\trss_mb=%.2f\trss_anon_mb=%.2f\trss_file_mb=%.2f\theap_goal_mb=%.2f\theap_inuse_mb=%.2f\tstack_mb=%.2f\tgoroutines=%.1f", last["process_resident_memory_bytes"] / n / 1e6,
        last["RssAnon:"] / n / 1e6, last["RssFile:"] / n / 1e6,
        last["go_memstats_next_gc_bytes"] / n / 1e6, last["go_memstats_heap_inuse_bytes"] / n / 1e6, last["go_memstats_stack_inuse_bytes"] / n / 1e6, last["go_goroutines"] / n
      printf "\tpss_mb=%.2f\tsmaps_anonymous_mb=%.2f\tsmaps_rss_mb=%.2f", last["map_Pss:"] / n / 1e6, last["map_Anonymous:"] / n / 1e6, last["map_Rss:"] / n / 1e6
      for (i = 1; i <= 3; i++) { stream = i == 1 ? "config" : i == 2 ? "members" : "keepers"
        printf "\treads_%s_s=%.3f\trecords_%s_s=%.3f", stream, add["log_reads_" stream] / s, stream, add["log_records_read_" stream] / s }
      printf "\tlog_bytes_s=%.1f\tlog_cpu_percent=%.2f\tappends_config_s=%.3f\tappends_members_s=%.3f\tappends_keepers_s=%.3f\n",
        add["log_bytes"] / s / n, 100 * add["log_cpu_ticks"] / tick / s, add["log_config"] / s, add["log_members"] / s, add["log_keepers"] / s
    }' "$out/before.txt" "$out/after.txt"
}

# fit FILE: prints a least squares line for each column, extrapolated to the target size.
fit() {
  awk -F'\t' -v target="${TARGET:-660}" '
    BEGIN { printf "%-20s %12s %12s %12s   %s\n", "figure", "intercept", "slope", "at " target, "measured (nodes:value)" }
    { x = $1; n++; sx += x; sxx += x * x
      for (i = 2; i <= NF; i++) { split($i, part, "="); name[i] = part[1]; y = part[2]
        sy[i] += y; sxy[i] += x * y; points[i] = points[i] " " x ":" y }
      columns = NF }
    END { d = n * sxx - sx * sx
      for (i = 2; i <= columns; i++) {
        slope = d ? (n * sxy[i] - sx * sy[i]) / d : 0
        base = (sy[i] - slope * sx) / n
        printf "%-20s %12.4f %12.6f %12.4f  %s\n", name[i], base, slope, base + slope * target, points[i] } }' "$1"
}

# Faults of the log: none, slow, and down for all data centres but those of the first
# region.
faults_healthy='{}'
faults_slow='{"slow_ms":300}'
faults_down='{"down_for":["taichung","changhua","kaohsiung","tainan"]}'

# set_faults JSON: sets the faults of the log.
set_faults() { curl -sf -X PUT -d "$1" "$log/faults" >/dev/null; }

# versions prints the configuration version of each node, one per line.
versions() { curl -s "${ops[@]/%//metrics}" | awk '/^egretfield_config_version /{print $2}'; }

# await_version VERSION: waits until all nodes have the version. Fails if they don't within
# 30 s, or later if the queries are slow.
await_version() {
  for _ in $(seq 150); do
    [ "$(versions | grep -cx "$1")" = "${#ops[@]}" ] && return
    sleep 0.2
  done
  echo "version $1 isn't in force on all nodes after 30 s" >&2
  return 1
}

# last_in_force prints the wall-clock time, ms, at which the last node put its version in
# force.
last_in_force() {
  printf '%s\n' "${controls[@]}" |
    xargs -P 8 -I{} "$bin/egretctl" status -node {} -o json |
    sed -nE 's/.*"in_force_since_unix_ms": *"([0-9]+)".*/\1/p' | sort -n | tail -1
}

# propagation SIZE: prints the times from the start of "egretctl publish" until the version
# is in force on the last node.
propagation() {
  start_fleet "$1" >&2
  export EGRETFIELD_NODE="${controls[0]}"
  sleep "$idle_s"
  local state faults try started version change=1
  for state in healthy slow down; do
    faults="faults_$state"
    set_faults "${!faults}"
    sleep 5
    for try in $(seq "$publishes"); do
      write_config "$out/config.yaml" "$change"
      change=$((change + 1))
      started=$(date +%s%3N)
      "$bin/egretctl" publish -reason "try $try, log $state" "$out/config.yaml" >"$out/publish-$state-$try.txt" 2>&1 || true
      version="$(sed -nE 's/^accepted at offset ([0-9]+).*/\1/p' "$out/publish-$state-$try.txt")"
      if await_version "$version"; then
        echo "$state $(($(last_in_force) - started))"
      else
        echo "$state 30000"
      fi
    done
  done >"$out/propagation.txt"
  set_faults "$faults_healthy"
  echo "nodes $1, limit 8000 ms"
  sort -s -k1,1 -k2,2n "$out/propagation.txt" | awk '
    { n[$1]++; v[$1, n[$1]] = $2 }
    END { for (s in n) printf "log %-8s publishes %d  p50 %d ms  max %d ms\n", s, n[s], v[s, int((n[s] + 1) / 2)], v[s, n[s]] }' | sort
}

# stream_ends prints the next offsets of the streams for configuration, members and keepers.
stream_ends() { echo "$(next_offset egretfield-config) $(next_offset egretfield-members) $(next_offset egretfield-keepers)"; }

# append_samples FILE: appends a line for each node in ops: time, address, bytes, messages,
# dead members, shards.
append_samples() {
  local address now
  now=$(date +%s%3N)
  for address in "${ops[@]}"; do
    curl -s "http://$address/metrics" | awk -v now="$now" -v a="$address" '
      /^egretfield_peer_bytes_total/ { b += $NF }
      /^egretfield_peer_messages_total/ { m += $NF }
      /^egretfield_member_members.*DEAD/ { d = $NF }
      /^egretfield_keys_shards/ { k = $NF }
      END { print now, a, b, m, d, k }'
  done >>"$1"
}

# restarts COUNT: stops and restarts COUNT nodes one after another and prints the number of
# records that this adds to the log.
restarts() {
  local i instance place before after started idle_before idle_after
  idle_before=($(stream_ends))
  sleep "$sample_s"
  idle_after=($(stream_ends))
  before=($(stream_ends))
  started=$SECONDS
  for i in $(seq 0 $(($1 - 1))); do
    instance="node$((i + 1))"
    place="${places[$((i % ${#places[@]}))]}"
    kill -TERM "${server_pids[$i]}" "${node_pids[$i]}"
    wait "${server_pids[$i]}" "${node_pids[$i]}" || true
    rm -f "$out/$instance".{addr,admin,server}
    start_node "$instance" "${place%/*}" "${place#*/}"
    node_pids[i]="${pids[-1]}"
    ops[i]="$(address_of "$out/$instance.addr" ops)"
    start_server "$instance" "$(service_of $((i + 1)))" -slots 10
    server_pids[i]="${pids[-1]}"
  done
  sleep "$sample_s"
  after=($(stream_ends))
  awk -v n="$1" -v s="$((SECONDS - started))" -v idle="$sample_s" -v q="$((idle_after[2] - idle_before[2]))" \
    -v m="$((after[1] - before[1]))" -v k="$((after[2] - before[2]))" 'BEGIN {
      printf "restarts %d in %d s: member records %.1f each, keeper records %.1f each above %.2f/s at rest\n", n, s, m / n, (k - q / idle * s) / n, q / idle }'
}

# loss SIZE: makes planned restarts, then kills all nodes of one data centre at once.
loss() {
  start_fleet "$1" >&2
  sleep "$idle_s"
  restarts 4
  sleep "$idle_s"
  : >"$out/watch.txt"
  append_samples "$out/watch.txt"
  local i killed=() ends started
  ends=($(stream_ends))
  for i in $(seq 3 "${#places[@]}" $(($1 - 1))); do
    killed+=("${server_pids[$i]}" "${node_pids[$i]}")
    unset "ops[$i]"
  done
  echo "killed at once: $((${#killed[@]} / 2)) of $1 nodes, those of ${places[3]}"
  kill -KILL "${killed[@]}"
  started=$(date +%s%3N)
  for i in $(seq 20); do
    sleep 0.3
    append_samples "$out/watch.txt"
  done
  sleep 30
  append_samples "$out/watch.txt"
  local now=($(stream_ends))
  echo "appends in $(($(date +%s%3N) - started)) ms: config $((now[0] - ends[0])), members $((now[1] - ends[1])), keepers $((now[2] - ends[2]))"
  loss_report $((${#killed[@]} / 2)) "$started"
}

# loss_report DEAD START: prints the samples over time after the loss.
loss_report() {
  awk -v dead="$1" -v start="$2" '
    $2 in at { if ($1 > at[$2]) { s = ($1 - at[$2]) / 1000; r = ($3 - b[$2]) / s; t = $1 - start
        n[t]++; sum[t] += r; if (r > top[t]) top[t] = r; msgs[t] += ($4 - m[$2]) / s; seen[t] += $5 >= dead; shards[t] += $6 } }
    { at[$2] = $1; b[$2] = $3; m[$2] = $4 }
    END { print "ms after  bytes/s mean  bytes/s max   messages/s  nodes informed   shards kept"
      for (t in n) printf "%8d %13.0f %13.0f %11.1f %9d/%d %12d\n", t, sum[t] / n[t], top[t], msgs[t] / n[t], seen[t], n[t], shards[t] }' "$out/watch.txt" | sort -n
}
