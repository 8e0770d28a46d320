#!/bin/bash
# Tests the promises under real failures, with nodes and stand-ins as processes.
# Checks outcomes, and only those times that a promise states.
#   processes_test.sh CASE
set -u
cd "$(dirname "$0")/../../.."
export LOG_LEVEL=warn
source tools/fleet.sh
RUN=build/runs/test-$1
ADMIN=127.0.0.1:21001
PLATFORM=127.0.0.1:21000
fails=0

fail() {
  echo "FAIL: $*"
  fails=$((fails + 1))
}

# begin [OPTION]: starts the Addis graph and waits until all nodes are ready.
begin() {
  fleet_start addis "$RUN" "$@"
  fleet_wait_ready || fail "nodes did not become ready"
}

# load_begin SECONDS [MIX]: offers load in the background.
load_begin() {
  build/almondwind load --mix "mixes/${2:-addis-test}.toml" --seconds "$1" \
    --nodes "$RUN/nodes" --admin $ADMIN --json "$RUN/load.json" \
    >"$RUN/load.out" 2>/dev/null &
  LOAD_PID=$!
}

load_end() {
  wait "$LOAD_PID" || fail "the load saw a doubled, untrue or broken answer"
  tail -1 "$RUN/load.out"
}

count() {
  tail -1 "$RUN/load.out" | grep -o "$1=[0-9]*" | cut -d= -f2
}

# no_lost_tries: checks that every attempt of a caller got a definite answer.
no_lost_tries() {
  local lost
  lost=$(grep -o '"lost_tries": [0-9]*' "$RUN/load.json" | grep -o '[0-9]*$')
  [ "$lost" = 0 ] || fail "$lost requests in progress were cut"
}

signal() {
  kill "-$1" "$(cat "$FLEET_DIR/$2.pid")"
}

# An upstream runs orders and closes connections without an answer: each order
# runs once, and its caller gets the outcome unknown.
case_upstream_closes() {
  begin
  http GET $ADMIN "/set?service=quotations&close=5" >/dev/null
  load_begin 6
  load_end
  [ "$(count doubled)" = 0 ] || fail "an order ran twice"
  [ "$(count answered)" -gt 500 ] || fail "too little was answered"
}

# Hosts are killed and restart without state while orders are in progress.
case_kill() {
  begin
  load_begin 8
  sleep 2
  signal KILL addis-quotations-1
  signal KILL addis-pricing-2
  sleep 2
  fleet_start_node addis-quotations-1
  fleet_start_node addis-pricing-2
  load_end
  [ "$(count answered)" -gt 1000 ] || fail "too little was answered"
}

# A node is paused past its callers' deadlines and resumes with expired work.
case_pause() {
  begin
  load_begin 9
  sleep 2
  signal STOP addis-quotations-2
  sleep 3
  signal CONT addis-quotations-2
  load_end
  [ "$(count answered)" -gt 1000 ] || fail "too little was answered"
}

# Two hosts shut down gracefully at once under load: no request is cut off.
case_graceful_stop() {
  begin
  load_begin 8
  sleep 2
  fleet_stop_node addis-catalogue-1 &
  fleet_stop_node addis-quotations-3
  wait $!
  grep -q '"event":"stopped"' "$RUN/addis-catalogue-1.log" ||
    fail "catalogue-1 did not stop by itself"
  grep -q '"event":"stopped"' "$RUN/addis-quotations-3.log" ||
    fail "quotations-3 did not stop by itself"
  load_end
  no_lost_tries
}

# An upstream starts to drain under load: after 3 s it gets no new work.
case_leaving() {
  begin
  load_begin 9
  sleep 1
  http GET $ADMIN "/set?host=addis-pricing-1&drain=1" >/dev/null
  sleep 3
  local before after other
  before=$(node_status addis-pricing-1 runs_started)
  sleep 2
  after=$(node_status addis-pricing-1 runs_started)
  other=$(node_status addis-pricing-2 runs_started)
  [ "$before" = "$after" ] || fail "new work: $before, then $after runs"
  [ "$other" -gt 100 ] || fail "the other hosts took too little work"
  http GET $ADMIN "/set?host=addis-pricing-1&drain=0" >/dev/null
  sleep 2
  [ "$(node_status addis-pricing-1 runs_started)" -gt "$after" ] ||
    fail "it did not return to work"
  load_end
  no_lost_tries
}

# publish PATH TEXT: prints the version.
publish() {
  http POST $PLATFORM "/admin/publish?path=$1" "$2" | tail -1
}

# in_force PATH VERSION SECONDS: whether the version of PATH is in force on all
# nodes within SECONDS.
in_force() {
  local deadline=$((SECONDS + $3)) file name all
  while [ $SECONDS -le $deadline ]; do
    all=1
    for file in "$RUN"/nodes/*.toml; do
      name=$(basename "$file" .toml)
      [ "$(node_status "$name" "$1")" = "$2" ] || all=0
    done
    [ $all = 1 ] && return 0
    sleep 0.2
  done
  return 1
}

# Published values are in force on all nodes within 6 s. Invalid values are
# refused and do not delay other teams. Older versions never return.
case_config() {
  begin
  local good version bad other
  good=$(cat policies/addis.toml)
  version=$(publish /teams/addis "$good")
  in_force /teams/addis "$version" 6 || fail "version $version is not in force"
  # Two operators publish at once, one of them an invalid value.
  publish /teams/addis "[services.pricing.gate]
limiter = 1" >"$RUN/bad" &
  other=$(publish /teams/other "[services.x.gate]
ramp_ms = 1")
  wait $!
  bad=$(cat "$RUN/bad")
  in_force /teams/other "$other" 6 || fail "another team was held back"
  in_force /teams/addis "$version" 1 || fail "bad version $bad is in force"
  # A host starts while the platform serves an older replica.
  version=$(publish /teams/addis "$good")
  in_force /teams/addis "$version" 6 || fail "version $version is not in force"
  http GET $PLATFORM "/admin/set?older=1" >/dev/null
  fleet_stop_node addis-pricing-3
  fleet_start_node addis-pricing-3
  in_force /teams/addis "$version" 6 || fail "an older version came back"
  # A host starts while the platform is down.
  http GET $PLATFORM "/admin/set?down=1&older=0" >/dev/null
  fleet_stop_node addis-pricing-2
  fleet_start_node addis-pricing-2
  in_force /teams/addis "$version" 6 || fail "no version without the platform"
  load_begin 3
  load_end
  [ "$(count unknown)" = 0 ] || fail "requests failed without the platform"
  local reads
  reads=$(http GET $PLATFORM /admin/stats | grep -o '"refused":[0-9]*')
  [ "$reads" = '"refused":0' ] || fail "the platform refused reads: $reads"
}

# A zone is partitioned while orders are in progress, then reconnected.
case_cut() {
  export RELAYED_ZONE=addis-c RELAY_ADMIN=127.0.0.1:21007
  begin
  load_begin 9
  sleep 2
  http GET $RELAY_ADMIN "/set?cut=1" >/dev/null
  sleep 3
  http GET $RELAY_ADMIN "/set?cut=0" >/dev/null
  load_end
  [ "$(count answered)" -gt 1000 ] || fail "too little was answered"
}

# Malformed input gets a typed error that names the remedy and does not affect
# other requests.
case_bad_input() {
  begin
  local entry answer
  entry=$(node_address addis-catalogue-1 callers)
  load_begin 4
  check() {  # check WANTED WHAT ANSWER
    echo "$3" | grep -q "X-Reason: $1" || fail "$2: $(echo "$3" | head -1)"
    echo "$3" | grep -q remedy || fail "$2 names no remedy"
  }
  check unknown_service "unknown service" "$(http GET "$entry" /addis/none/x)"
  check unknown_service "no service" "$(http GET "$entry" /)"
  check wrong_class "wrong class" "$(HTTP_HEADERS=$'X-Request-Class: best\r\n' \
    http GET "$entry" /addis/catalogue/boards)"
  check wrong_class "raised class" "$(
    HTTP_HEADERS=$'X-Request-Class: critical\r\n' \
      http GET "$entry" /addis/catalogue/boards)"
  check deadline "expired deadline" "$(
    HTTP_HEADERS=$'X-Request-Timeout-Ms: 0\r\n' \
      http GET "$entry" /addis/catalogue/boards)"
  check malformed "malformed timeout" "$(
    HTTP_HEADERS=$'X-Request-Timeout-Ms: soon\r\n' \
      http GET "$entry" /addis/catalogue/boards)"
  check malformed "large header" "$(HTTP_HEADERS="X-Big: $(head -c 20000 \
    /dev/zero | tr '\0' x)"$'\r\n' http GET "$entry" /addis/catalogue/boards)"
  answer=$(exec 8<>"/dev/tcp/${entry%:*}/${entry#*:}"
    printf 'NOT HTTP AT ALL\r\n\r\n' >&8; timeout 2 cat <&8)
  check malformed "malformed HTTP" "$answer"
  answer=$(exec 8<>"/dev/tcp/${entry%:*}/${entry#*:}"
    printf 'POST /addis/catalogue/quote HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n' >&8
    timeout 2 cat <&8)
  check body_too_large "large body" "$answer"
  # Random and truncated bytes on the link.
  local link
  link=$(node_address addis-catalogue-1 links)
  for bytes in '\x00\x00\x00\x05\x02abcd' '\xff\xff\xff\xff' 'x' \
      '\x00\x00\x00\x00'; do
    (exec 8<>"/dev/tcp/${link%:*}/${link#*:}"; printf "$bytes" >&8)
  done
  load_end
  [ "$(count unknown)" = 0 ] || fail "bad input disturbed others"
}

"case_$1"
[ $fails = 0 ] && echo "case $1 passed"
exit $fails
