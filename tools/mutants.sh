#!/bin/bash
# Mutation test: breaks one mechanism at a time in a scratch copy and expects the
# test of its promise to fail. Prints a line for each mutant; exits 1 if a test
# passes in spite of the mutant.
#   tools/mutants.sh [SCRATCH]    ONLY="LABEL ..." for some of them
set -u
cd "$(dirname "$0")/.."
scratch=${1:-build/mutants}
mkdir -p "$scratch"
cp -r --update almondwind platform CMakeLists.txt "$scratch/"
cmake -S "$scratch" -B "$scratch/build" >/dev/null
code=0

# mutant LABEL FILE SED: breaks a mechanism by the sed expression and expects the
# fuzz test LABEL to fail.
mutant() {
  local label=$1 file=$2 expression=$3
  [[ -z ${ONLY:-} || " $ONLY " == *" $label "* ]] || return
  sed -i -E "$expression" "$scratch/$file"
  if cmp -s "$file" "$scratch/$file"; then
    echo "mutant $label: expression fits no line of $file"
    code=1
    return
  fi
  local line
  line=$(diff "$file" "$scratch/$file" | head -1)
  if ! cmake --build "$scratch/build" -j "$(nproc)" \
      --target promises_fuzz_test >"$scratch/log" 2>&1; then
    echo "mutant $label: does not compile"
    code=1
  elif RC_PARAMS="seed=20261204 max_success=2000 max_size=100" \
      timeout 300 "$scratch/build/promises_fuzz_test" --run_test="$label" \
      >"$scratch/log" 2>&1; then
    echo "mutant $label: NOT NOTICED ($file $line)"
    code=1
  else
    echo "mutant $label: red ($file $line):" \
      "$(grep -A2 -m1 '^RC_FAIL' "$scratch/log" | tail -1 | cut -c1-80)"
  fi
  cp -f "$file" "$scratch/$file"
  touch "$scratch/$file"
}

# soak_mutant RULE FILE SED: the same for a mechanism of the sidecar; expects the
# soak test to report a violation of RULE.
soak_mutant() {
  local rule=$1 file=$2 expression=$3
  [[ -z ${ONLY:-} || " $ONLY " == *" $rule "* ]] || return
  sed -i -E "$expression" "$scratch/$file"
  if cmp -s "$file" "$scratch/$file"; then
    echo "mutant $rule: expression fits no line of $file"
    code=1
    return
  fi
  local line
  line=$(diff "$file" "$scratch/$file" | head -1)
  if ! cmake --build "$scratch/build" -j "$(nproc)" \
      --target soak almondwind >"$scratch/log" 2>&1; then
    echo "mutant $rule: does not compile"
    code=1
  else
    timeout 300 "$scratch/build/soak" --program "$scratch/build/almondwind" \
      --folder "$scratch/soak" --seeds 3 --seconds 10 >"$scratch/log" 2>&1
    if grep -q "^BROKEN $rule" "$scratch/log"; then
      echo "mutant $rule: red ($file $line):" \
        "$(grep -m1 "^BROKEN $rule" "$scratch/log" | cut -c1-80)"
    else
      echo "mutant $rule: NOT NOTICED ($file $line)"
      code=1
    fi
  fi
  cp -f "$file" "$scratch/$file"
  touch "$scratch/$file"
}

mutant retries_bounded almondwind/node/router.cc \
  's/out\.permits = call\.permits - keep;/out.permits = keep == 0 ? 0 : 3;/'
mutant critical_refused_last almondwind/machines/gate.cc \
  's/^  EvictBelow\(cls\);//'
mutant answer_whole almondwind/node/router.cc \
  's/by_message_\.find\(answer\.id\)/by_message_.begin()/'
mutant not_run_is_true almondwind/node/server.cc \
  's/call\.id <= it->second\.last_id/false/'
mutant not_run_is_true almondwind/node/router.cc \
  's/Outcome final_outcome = call->maybe_ran .*/Outcome final_outcome = outcome;/'
mutant not_run_is_true almondwind/node/server.cc \
  's/run->inner_calls_not_run \? Outcome::kNotRun : Outcome::kUnknown/Outcome::kNotRun/'
mutant at_most_once almondwind/contracts/ledger.cc \
  's/return \{Verdict::kInProgress, nullptr\}/return {Verdict::kRun, nullptr}/'
mutant leaving_gets_no_new_work almondwind/machines/gate.cc \
  's/if \(leaving_\) return/if (false) return/'
mutant config_never_reverts almondwind/teams/store.cc \
  's/value\.version < it->second\.version/false/'
soak_mutant TWICE almondwind/sidecar/dispatcher.cc \
  's/if \(call\.route->idempotent && ReserveRetry\(call\)\) return Try/if (true) return Try/'
soak_mutant MIXED almondwind/sidecar/upstream_pool.cc \
  's/if \(metadata\.request_id && \*metadata\.request_id != request_id_\)/if (false)/'
soak_mutant UNASKED almondwind/sidecar/dispatcher.cc \
  's/dialect_\.RemoveSystemFields\(out\.headers\);//'
soak_mutant REFUSED almondwind/sidecar/gate_server.cc \
  's/if \(kind == EndKind::kClosed\) return Unknown/if (kind == EndKind::kClosed) return NotRun/'
soak_mutant CONFIG almondwind/sidecar/documents.cc \
  's/if \(table->version\(\) <= have\) return false;/if (have != 0) return false;/'
exit $code
