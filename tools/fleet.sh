# Functions to start and end a graph's processes; sourced by the scripts.
# All processes are children of the script, and only they are ended.

FLEET_DIR=

# Ends every process that this run started, by the ids that it wrote down.
fleet_end() {
  [ -n "$FLEET_DIR" ] || return
  local file
  for file in "$FLEET_DIR"/*.pid; do
    [ -f "$file" ] && kill -KILL "$(cat "$file")" 2>/dev/null
    rm -f "$file"
  done
}
trap fleet_end EXIT
trap 'exit 1' TERM INT

# fleet_start_node NAME: starts one node; its log goes to the run's folder.
fleet_start_node() {
  build/almondwind node --settings "$FLEET_DIR/nodes/$1.toml" \
    2>>"$FLEET_DIR/$1.log" &
  echo $! >"$FLEET_DIR/$1.pid"
  disown $!
}

# fleet_stop_node NAME: planned stop; returns the node's exit code.
fleet_stop_node() {
  local pid
  pid=$(cat "$FLEET_DIR/$1.pid")
  kill -TERM "$pid" 2>/dev/null
  while kill -0 "$pid" 2>/dev/null; do sleep 0.05; done
}

# fleet_start GRAPH FOLDER [OPTION of the upstreams]: starts everything.
fleet_start() {
  FLEET_DIR=$2
  rm -rf "$FLEET_DIR"
  mkdir -p "$FLEET_DIR"
  local graph=graphs/$1.toml
  build/standin layout --graph "$graph" --policy "policies/${POLICY:-$1}.toml" \
    --out "$FLEET_DIR" --log "${LOG_LEVEL:-info}" || exit 2
  build/standin platform --graph "$graph" --values "$FLEET_DIR/platform" &
  echo $! >"$FLEET_DIR/platform.pid"
  disown $!
  build/standin upstreams --graph "$graph" ${3:-} &
  echo $! >"$FLEET_DIR/upstreams.pid"
  disown $!
  local file
  if [ "${3:-}" != "--direct" ]; then
    for file in "$FLEET_DIR"/nodes/*.toml; do
      fleet_start_node "$(basename "$file" .toml)"
    done
  fi
}

# Waits until every node is ready to serve.
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
