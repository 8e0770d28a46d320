// Tests of the ledger: parsing, bounds, and, for every sequence of six
// operations, that an order runs at most once.

#define BOOST_TEST_MODULE ledger
#include "almondwind/contracts/ledger.h"

#include <boost/test/unit_test.hpp>

namespace almondwind::contracts {
namespace {

using base::Millis;

LedgerOptions SmallOptions() {
  LedgerOptions options;
  options.max_contracts = 2;
  options.answer_bytes = 10;
  options.fresh_lifetime = Millis(100);
  options.ended_lifetime = Millis(200);
  return options;
}

struct Fixture {
  base::SeededEntropy entropy{1};
  Ledger ledger{"host.a", 5, SmallOptions(), entropy};
};

}  // namespace

BOOST_AUTO_TEST_CASE(names) {
  auto name = ParseContract("host.a.5f.0123");
  BOOST_REQUIRE(name.has_value());
  BOOST_TEST(name->host == "host.a");
  BOOST_TEST(name->incarnation == 0x5fU);
  for (const char* bad : {"", ".", "a", "a.b", "a.zz.1", ".5.1", "a.5."}) {
    BOOST_TEST(!ParseContract(bad).has_value());
  }
}

BOOST_FIXTURE_TEST_CASE(full_refuses_and_forgets_nothing, Fixture) {
  auto a = ledger.Issue("t/s", Millis(0));
  auto b = ledger.Issue("t/s", Millis(0));
  BOOST_TEST((a && b));
  BOOST_TEST(!ledger.Issue("t/s", Millis(0)).has_value());
  BOOST_TEST((ledger.Begin(*a, "t/s", Millis(1)).verdict == Verdict::kRun));
  ledger.Void(*a, Millis(1));
  BOOST_TEST(!ledger.Issue("t/s", Millis(99)).has_value());
  BOOST_TEST((ledger.Begin(*a, "t/s", Millis(99)).verdict == Verdict::kVoided));
  // The unused contract expires first.
  BOOST_TEST(ledger.Issue("t/s", Millis(100)).has_value());
  BOOST_TEST((ledger.Begin(*b, "t/s", Millis(100)).verdict ==
              Verdict::kUnknownContract));
}

BOOST_FIXTURE_TEST_CASE(large_answer_is_remembered_as_ended, Fixture) {
  auto a = ledger.Issue("t/s", Millis(0));
  ledger.Begin(*a, "t/s", Millis(0));
  ledger.Answered(*a, {200, "", "eleven byte"}, Millis(1));
  BOOST_TEST(
      (ledger.Begin(*a, "t/s", Millis(2)).verdict == Verdict::kEndedUnknown));
  BOOST_TEST(ledger.answer_bytes() == 0U);
}

BOOST_FIXTURE_TEST_CASE(other_service_is_unknown, Fixture) {
  auto a = ledger.Issue("t/s", Millis(0));
  BOOST_TEST((ledger.Begin(*a, "t/x", Millis(0)).verdict ==
              Verdict::kUnknownContract));
}

// Guards against a second run of an order: Begin must return kRun at most once
// per contract in every sequence of operations.
BOOST_AUTO_TEST_CASE(every_sequence_runs_at_most_once) {
  constexpr int kOps = 7;
  constexpr int kLength = 6;
  int sequences = 1;
  for (int i = 0; i < kLength; ++i) sequences *= kOps;
  int wrong = 0;
  for (int code = 0; code < sequences; ++code) {
    Fixture f;
    Millis now(0);
    std::string contract = *f.ledger.Issue("t/s", now);
    int runs = 0;
    int rest = code;
    for (int i = 0; i < kLength; ++i, rest /= kOps) {
      switch (rest % kOps) {
        case 0:
          runs += f.ledger.Begin(contract, "t/s", now).verdict == Verdict::kRun;
          break;
        case 1:
          f.ledger.Void(contract, now);
          break;
        case 2:
          f.ledger.Answered(contract, {200, "", "ok"}, now);
          break;
        case 3:
          f.ledger.EndUnknown(contract, now);
          break;
        case 4:
          now = now + Millis(60);
          break;
        case 5:
          f.ledger.Expire(now);
          break;
        default:
          f.ledger.Issue("t/s", now);
      }
    }
    wrong += runs > 1;
  }
  BOOST_TEST(wrong == 0);
}

}  // namespace almondwind::contracts
