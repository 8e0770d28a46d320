// Stateful property tests of the promises on the real decision classes, with
// rapidcheck's state machine. There is one test case for each of the eight
// promises except graceful_stop, which needs real sockets and processes. Each
// test case favors the commands most likely to break its promise, and all check
// every invariant.
//
// RC_PARAMS="seed=N max_success=M" sets the seed and the number of runs.

#define BOOST_TEST_MODULE promises_fuzz
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <boost/test/unit_test.hpp>
#include <iostream>

#include "almondwind/node/testing/cluster.h"

namespace almondwind::node::testing {
namespace {

// The model counts only the requests and orders made.
struct Model {
  int requests = 0;
  int orders = 0;
};

struct Sut {
  explicit Sut(const Topology& topology, uint64_t seed)
      : cluster(topology, seed) {}
  Cluster cluster;
  std::vector<std::string> contracts;
  std::vector<std::string> contract_tokens;
  std::vector<uint64_t> asked;  // callers that requested a contract
  int next_token = 0;

  // Collects the contracts that callers have received since the last call.
  void Collect() {
    for (uint64_t caller : asked) {
      auto it = cluster.replies().find(caller);
      if (it == cluster.replies().end() || it->second.contract.empty()) {
        continue;
      }
      contracts.push_back(it->second.contract);
      contract_tokens.push_back("order" + std::to_string(next_token++));
    }
    asked.clear();
  }
  void CheckOracle() {
    const auto& violations = cluster.oracle().violations;
    if (!violations.empty()) RC_FAIL(violations.front());
  }
};

enum class Op : uint8_t {
  kCall,
  kBackgroundBurst,
  kAskContract,
  kOrder,
  kAdvance,
  kDuplicate,
  kDrop,
  kReorder,
  kHold,
  kRelease,
  kBreakLinks,
  kCut,
  kHeal,
  kPause,
  kWake,
  kRestart,
  kLeave,
  kJoin,
  kMode,
  kGone,
  kPublishGood,
  kPublishBad,
  kOtherTeam,
  kPlatformDown,
  kPlatformOlder,
  kPlatformUp,
};
constexpr int kOpCount = 26;

constexpr base::Names<kOpCount> kOpNames = {
    "call",           "burst",       "ask_contract", "order",
    "advance",        "duplicate",   "drop",         "reorder",
    "hold",           "release",     "break_links",  "cut",
    "heal",           "pause",       "wake",         "restart",
    "leave",          "join",        "mode",         "gone",
    "publish",        "publish_bad", "other_team",   "platform_down",
    "platform_older", "platform_up"};

using Command = rc::state::Command<Model, Sut>;

// Operations that the current test case generates more often.
std::vector<Op>& FavoredOps() {
  static std::vector<Op> favored;
  return favored;
}

class Step : public Command {
 public:
  Step() {
    std::vector<Op> all = FavoredOps();
    for (int i = 0; i < kOpCount; ++i) all.push_back(static_cast<Op>(i));
    op_ = *rc::gen::elementOf(all);
    a_ = *rc::gen::inRange<size_t>(0, 1000);
    b_ = *rc::gen::inRange<size_t>(0, 1000);
  }

  void apply(Model& model) const override {
    if (op_ == Op::kCall) ++model.requests;
    if (op_ == Op::kOrder) ++model.orders;
  }

  void run(const Model&, Sut& sut) const override {
    Play(sut);
    sut.Collect();
    sut.CheckOracle();
  }

  void show(std::ostream& os) const override {
    os << base::NameOf(kOpNames, op_) << "(" << a_ << "," << b_ << ")";
  }

 private:
  void Play(Sut& sut) const {
    Cluster& c = sut.cluster;
    switch (op_) {
      case Op::kCall:
        c.CallService(a_, 0, "u" + std::to_string(sut.next_token++));
        return;
      case Op::kBackgroundBurst:
        for (int i = 0; i < 12; ++i) {
          const char* cls = i % 3 == 0   ? "background"
                            : i % 3 == 1 ? ""
                                         : "high";
          c.CallService(a_, b_, "b" + std::to_string(sut.next_token++), cls);
        }
        return;
      case Op::kAskContract:
        sut.asked.push_back(c.Order(a_, "ask", ""));
        c.Advance(30);
        return;
      case Op::kOrder:
        if (sut.contracts.empty()) return;
        // A contract may be used repeatedly and through any node.
        c.Order(a_, sut.contract_tokens[b_ % sut.contracts.size()],
                sut.contracts[b_ % sut.contracts.size()]);
        return;
      case Op::kAdvance:
        return c.Advance(static_cast<int64_t>(5 + a_ % 300));
      case Op::kDuplicate:
        return c.DuplicateOne(a_);
      case Op::kDrop:
        return c.DropOne(a_);
      case Op::kReorder:
        return c.ReorderOne(a_);
      case Op::kHold:
        return c.HoldOne(a_);
      case Op::kRelease:
        return c.ReleaseHeld();
      case Op::kBreakLinks:
        return c.BreakLinks(a_);
      case Op::kCut:
        return c.Cut(a_, true);
      case Op::kHeal:
        return c.Cut(a_, false);
      case Op::kPause:
        return c.Pause(a_, true);
      case Op::kWake:
        return c.Pause(a_, false);
      case Op::kRestart:
        return c.Restart(a_);
      case Op::kLeave:
        return c.SetLeaving(a_, true);
      case Op::kJoin:
        return c.SetLeaving(a_, false);
      case Op::kMode:
        return c.SetMode(a_, static_cast<UpstreamMode>(b_ % 4));
      case Op::kGone:
        return c.DisconnectCaller(a_);
      case Op::kPublishGood:
        return c.Publish("/teams/team", c.PolicyText(Cluster::kRetries));
      case Op::kPublishBad:
        return c.Publish("/teams/team", "[services.s0.gate]\nlimiter = 7\n",
                         false);
      case Op::kOtherTeam: {
        // Another team publishes at the same time; some of its values are
        // good, and none may affect this team's services.
        bool good = a_ % 3 != 0;
        return c.Publish("/teams/other",
                         good ? "[services.s0.router]\nretries = 16\n"
                              : "[services.\"team/s0\".router]\n",
                         good);
      }
      case Op::kPlatformDown:
        return c.SetPlatform(true, false);
      case Op::kPlatformOlder:
        return c.SetPlatform(false, true);
      case Op::kPlatformUp:
        return c.SetPlatform(false, false);
    }
  }

  Op op_;
  size_t a_;
  size_t b_;
};

// Totals over the runs of one test case, which reveal a vacuous test.
struct Totals {
  int answered = 0;
  int not_run = 0;
  int unknown = 0;
  size_t orders = 0;
  int retries = 0;
  void Add(const Oracle& oracle) {
    answered += oracle.answered;
    not_run += oracle.not_run;
    unknown += oracle.unknown;
    orders += oracle.key_runs.size();
    for (const auto& [id, count] : oracle.retries) retries += count;
  }
};

void Fuzz(const Topology& topology, std::vector<Op> favored) {
  FavoredOps() = std::move(favored);
  Totals totals;
  auto result = rc::check([&topology, &totals] {
    auto seed = *rc::gen::inRange<uint64_t>(1, 1'000'000);
    Model model;
    Sut sut(topology, seed);
    rc::state::check(model, sut, rc::state::gen::execOneOfWithArgs<Step>());
    sut.cluster.Settle();
    sut.CheckOracle();
    totals.Add(sut.cluster.oracle());
  });
  BOOST_TEST(result);
  std::cout << "answered " << totals.answered << ", not run " << totals.not_run
            << ", unknown " << totals.unknown << ", orders run "
            << totals.orders << ", retries " << totals.retries << "\n";
  BOOST_TEST(totals.answered > 0);
  BOOST_TEST(totals.not_run + totals.unknown > 0);
}

// A chain of 15 services with fan-out: 2 x 2 x 2 calls of the last service.
Topology DeepTopology() {
  Topology topology;
  topology.services = 15;
  topology.hosts = 2;
  topology.zones = 2;
  topology.fan_out = {1, 6, 11};
  topology.slots = 4;
  return topology;
}

}  // namespace

BOOST_AUTO_TEST_CASE(retries_bounded) {
  Fuzz(DeepTopology(), {Op::kCall, Op::kCall, Op::kAdvance, Op::kAdvance,
                        Op::kMode, Op::kDrop, Op::kDuplicate, Op::kBreakLinks});
}

BOOST_AUTO_TEST_CASE(critical_refused_last) {
  Fuzz(Topology(), {Op::kBackgroundBurst, Op::kBackgroundBurst, Op::kCall,
                    Op::kMode, Op::kAdvance, Op::kPause, Op::kWake});
}

BOOST_AUTO_TEST_CASE(answer_whole) {
  Fuzz(Topology(), {Op::kCall, Op::kCall, Op::kDuplicate, Op::kHold,
                    Op::kRelease, Op::kReorder, Op::kAdvance});
}

BOOST_AUTO_TEST_CASE(not_run_is_true) {
  Fuzz(Topology(), {Op::kCall, Op::kBackgroundBurst, Op::kMode, Op::kHold,
                    Op::kDuplicate, Op::kRelease, Op::kAdvance, Op::kRestart});
}

BOOST_AUTO_TEST_CASE(at_most_once) {
  Fuzz(Topology(),
       {Op::kAskContract, Op::kAskContract, Op::kOrder, Op::kOrder, Op::kOrder,
        Op::kAdvance, Op::kCut, Op::kRestart, Op::kPause, Op::kMode,
        Op::kDuplicate, Op::kHold, Op::kRelease});
}

BOOST_AUTO_TEST_CASE(leaving_gets_no_new_work) {
  Fuzz(Topology(), {Op::kLeave, Op::kJoin, Op::kCall, Op::kBackgroundBurst,
                    Op::kAdvance, Op::kAdvance, Op::kMode});
}

BOOST_AUTO_TEST_CASE(config_never_reverts) {
  Fuzz(Topology(),
       {Op::kPublishGood, Op::kPublishBad, Op::kOtherTeam, Op::kOtherTeam,
        Op::kPlatformOlder, Op::kPlatformUp, Op::kRestart, Op::kCut, Op::kHeal,
        Op::kPause, Op::kAdvance, Op::kAdvance});
}

}  // namespace almondwind::node::testing
