#!/bin/bash
# Starts the nodes and stand-ins of the Addis graph, runs the demo mix, in which
# pricing is slow for a while, stops and restarts one host gracefully, and prints
# the summary. Ends only processes that it started.
set -u
cd "$(dirname "$0")/.."
source tools/fleet.sh
fleet_start addis build/runs/demo
fleet_wait_ready || { echo "demo: nodes did not become ready"; exit 1; }
(sleep 3; fleet_stop_node addis-catalogue-2; sleep 3
 fleet_start_node addis-catalogue-2) &
stopper=$!
build/almondwind load --mix mixes/addis-demo.toml \
  --nodes build/runs/demo/nodes --admin 127.0.0.1:21001 --label demo
code=$?
wait $stopper
exit $code
