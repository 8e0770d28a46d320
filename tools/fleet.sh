# Functions that start and stop the processes of a graph, for use by other
# scripts. Only processes that the script started are stopped.

FLEET_DIR=

# Kills every process that this run started, by the ids in its pid files.
fleet_end() {
  [ -n "$FLEET_DIR" ] || return
  local file pid
  for file in "$FLEET_DIR"/*.pid; do
    [ -f "$file" ] && kill -KILL "$(cat "$file")" 2>/dev/null
  done
  # Waits until they have exited, because only then are their ports free.
  for file in "$FLEET_DIR"/*.pid; do
    [ -f "$file" ] || continue
    pid=$(cat "$file")
    while kill -0 "$pid" 2>/dev/null; do sleep 0.02; done
    rm -f "$file"
  done
}
trap fleet_end EXIT
trap 'exit 1' TERM INT

# fleet_start_node NAME: starts a node that logs to $FLEET_DIR/NAME.log.
fleet_start_node() {
  build/almondwind node --settings "$FLEET_DIR/nodes/$1.toml" \
    2>>"$FLEET_DIR/$1.log" &
  echo $! >"$FLEET_DIR/$1.pid"
  disown $!
}

# fleet_stop_node NAME: stops a node gracefully and waits until it has exited.
fleet_stop_node() {
  local pid
  pid=$(cat "$FLEET_DIR/$1.pid")
  kill -TERM "$pid" 2>/dev/null
  while kill -0 "$pid" 2>/dev/null; do sleep 0.05; done
}

# fleet_start GRAPH FOLDER [OPTION]: starts the platform, the upstreams with the
# OPTION, a relay if RELAYED_ZONE is set, and the nodes unless it is --direct.
fleet_start() {
  FLEET_DIR=$2
  rm -rf "$FLEET_DIR"
  mkdir -p "$FLEET_DIR"
  local graph=graphs/$1.toml
  build/standin layout --graph "$graph" --policy "policies/${POLICY:-$1}.toml" \
    --out "$FLEET_DIR" --log "${LOG_LEVEL:-info}" \
    --relayed-zone "${RELAYED_ZONE:-}" || exit 2
  build/standin platform --graph "$graph" --values "$FLEET_DIR/platform" &
  echo $! >"$FLEET_DIR/platform.pid"
  disown $!
  build/standin upstreams --graph "$graph" ${3:-} &
  echo $! >"$FLEET_DIR/upstreams.pid"
  disown $!
  if [ -n "${RELAYED_ZONE:-}" ]; then
    # shellcheck disable=SC2046  # a list of options
    build/standin relay --admin "$RELAY_ADMIN" $(cat "$FLEET_DIR/ways") &
    echo $! >"$FLEET_DIR/relay.pid"
    disown $!
  fi
  local file
  if [ "${3:-}" != "--direct" ]; then
    for file in "$FLEET_DIR"/nodes/*.toml; do
      fleet_start_node "$(basename "$file" .toml)"
    done
  fi
}

# Waits up to 100 polls, at least 10 s, until every node is ready; fails after
# that.
fleet_wait_ready() {
  local tries=100
  while [ $tries -gt 0 ]; do
    if build/almondwind status --nodes "$FLEET_DIR/nodes" --ready \
        >/dev/null 2>&1; then
      return 0
    fi
    sleep 0.1
    tries=$((tries - 1))
  done
  return 1
}

# http METHOD IP:PORT TARGET [BODY]: prints the response with its headers.
http() {
  local body=${4:-}
  exec 9<>"/dev/tcp/${2%:*}/${2#*:}" || return 1
  printf '%s %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: %d\r\n%s\r\n%s' \
    "$1" "$3" "$(printf %s "$body" | wc -c)" "${HTTP_HEADERS:-}" "$body" >&9
  cat <&9
  exec 9<&- 9>&-
}

# node_address NAME KEY: prints the "ip:port" of KEY in the node's settings.
node_address() {
  sed -n "s/^$2 = \"\(.*\)\"/\1/p" "$FLEET_DIR/nodes/$1.toml" | head -1
}

# node_status NAME KEY: prints the value of KEY in the node's status.
node_status() {
  build/almondwind status --json --address "$(node_address "$1" operators)" |
    grep -o "\"$2\":[^,}]*" | head -1 | cut -d: -f2-
}
