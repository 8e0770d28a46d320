#!/bin/bash
# Runs each case with each variant over real processes and prints a table.
#   tools/bench.sh [CASE ...]     RUNS=3 VARIANTS="direct gate almondwind"
# Results and plots go to build/runs/bench (or $OUT).
set -u
cd "$(dirname "$0")/.."
source tools/fleet.sh
export LOG_LEVEL=off
OUT=${OUT:-build/runs/bench}
RUNS=${RUNS:-3}
VARIANTS=${VARIANTS:-direct gate almondwind}
cases=${*:-addis-steady addis-surge2 addis-surge4 addis-slow addis-both
  addis-dead addis-cold amman-steady amman-surge4 amman-slow}
mkdir -p "$OUT/policies"

# Makes the policy files of the variants. "almondwind" and "direct" use the
# graph's policy as it is; any other variant adds the settings of
# tools/variants/VARIANT.toml to each service. "gate" has fixed limits and
# retries at each hop.
for graph in addis amman; do
  cp policies/$graph.toml "$OUT/policies/$graph-almondwind.toml"
  for variant in $VARIANTS; do
    [ -f "tools/variants/$variant.toml" ] || continue
    services=$(grep -o '^\[services\.[a-z]*\]' policies/$graph.toml |
      tr -d '[]')
    { cat policies/$graph.toml
      for service in $services; do
        sed "s/SERVICE/$service/" "tools/variants/$variant.toml"
      done
    } >"$OUT/policies/$graph-$variant.toml"
  done
done

for run in $(seq "$RUNS"); do
  for case in $cases; do
    graph=${case%%-*}
    admin=127.0.0.1:$([ "$graph" = addis ] && echo 21001 || echo 22001)
    for variant in $VARIANTS; do
      echo "bench: $case $variant run $run" >&2
      options=
      [ "$variant" = direct ] && options=--direct
      cp "$OUT/policies/$graph-$([ "$variant" = direct ] && echo almondwind ||
        echo "$variant").toml" "policies/bench-current.toml"
      POLICY=bench-current fleet_start "$graph" "$OUT/fleet" $options
      rm -f policies/bench-current.toml
      if [ "$variant" = direct ]; then sleep 0.3; else fleet_wait_ready; fi
      build/almondwind load --mix "mixes/$case.toml" --nodes "$OUT/fleet/nodes" \
        --admin "$admin" $options --seed "$run" \
        --json "$OUT/$case.$variant.$run.json" \
        --series "$OUT/$case.$variant.$run.dat" >"$OUT/$case.$variant.$run.txt" \
        2>/dev/null
      fleet_end
    done
  done
done

for case in $cases; do
  plot=
  for variant in $VARIANTS; do
    plot="$plot '$OUT/$case.$variant.1.dat' using 1:3 with lines title '$variant',"
  done
  gnuplot -e "set terminal svg size 800,400; set output '$OUT/$case.svg';
    set xlabel 'seconds'; set ylabel 'whole requests answered a second';
    set title '$case'; plot ${plot%,}" 2>/dev/null
done
build/almondwind compare --runs "$OUT"
