#!/bin/bash
# Measures the latency that the call path adds: compares calls straight to an
# upstream, through the node beside it, through another node, and through a
# cpprestsdk proxy, all in one run.
set -u
cd "$(dirname "$0")/.."
source tools/fleet.sh
export LOG_LEVEL=${LOG_LEVEL:-info}
fleet_start addis build/runs/latency
fleet_wait_ready || exit 1
# The upstream does no work, so that only the path is measured.
http GET 127.0.0.1:21001 "/set?service=catalogue&slow=0" >/dev/null
upstream=$(node_address addis-catalogue-1 address)
build/hop proxy 127.0.0.1:20980 "$upstream" &
echo $! >"$FLEET_DIR/hop.pid"
disown $!
# Only two nodes keep running, because in production each has a host to itself:
# the caller's entry node, and the node beside the upstream.
for file in "$FLEET_DIR"/nodes/*.toml; do
  name=$(basename "$file" .toml)
  case $name in
    addis-catalogue-1 | addis-drawings-1) ;;
    *) fleet_stop_node "$name" & ;;
  esac
done
sleep 4
direct="direct=$upstream/stock?t=x"
own="own=$(node_address addis-catalogue-1 callers)/addis/catalogue/stock?t=x"
other="other=$(node_address addis-drawings-1 callers)/addis/catalogue/stock?t=x"
hop="cpprest=127.0.0.1:20980/stock?t=x"
build/almondwind probe --way "$direct" --way "$own" --way "$other" \
  --way "$hop" --requests "${REQUESTS:-3000}"
build/almondwind probe --way "$direct" --way "$own" --way "$other" \
  --way "$hop" --requests 2000 --callers 16
build/hop resend
