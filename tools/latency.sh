#!/bin/bash
# Time that the whole path adds, next to a hop over cpprestsdk, in one run:
# straight to the upstream, through the node beside it, through another node.
set -u
cd "$(dirname "$0")/.."
source tools/fleet.sh
export LOG_LEVEL=${LOG_LEVEL:-info}
fleet_start addis build/runs/latency
fleet_wait_ready || exit 1
# No work in the upstream: only the way counts.
http GET 127.0.0.1:21001 "/set?service=drawings&slow=0" >/dev/null
upstream=$(node_address addis-drawings-1 address)
build/hop proxy 127.0.0.1:20980 "$upstream" &
echo $! >"$FLEET_DIR/hop.pid"
disown $!
# One host only, so that the other node's call crosses a link.
for host in 2 3 4; do
  http GET 127.0.0.1:21001 "/set?host=addis-drawings-$host&drain=1" >/dev/null
done
sleep 2
direct="direct=$upstream/roofline?t=x"
own="own=$(node_address addis-drawings-1 callers)/addis/drawings/roofline?t=x"
other="other=$(node_address addis-catalogue-1 callers)/addis/drawings/roofline?t=x"
hop="cpprest=127.0.0.1:20980/roofline?t=x"
build/almondwind probe --way "$direct" --way "$own" --way "$other" \
  --way "$hop" --requests "${REQUESTS:-3000}"
build/almondwind probe --way "$direct" --way "$own" --way "$other" \
  --way "$hop" --requests 2000 --callers 16
build/hop resend
