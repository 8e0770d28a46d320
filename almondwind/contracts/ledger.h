// Contracts: permission to run one order at most once, kept by one gate.
//
// A contract is issued ahead of an order and then serves as its
// Idempotency-Key. It names the one host and incarnation that may run it, so
// nothing needs to be agreed between nodes: the ledger of that gate decides.
//
//   auto contract = ledger.Issue("addis/quotations", now);
//   switch (ledger.Begin(*contract, service, now).verdict) ...
//
// Why an order runs at most once: Begin answers kRun only for an entry in
// state fresh, and moves it on in the same step. An entry that is not in the
// ledger is never run, so forgetting an old entry, or a restart that forgets
// all, can only refuse.
//
// Bounds: at most Options::max_contracts entries; when full, Issue refuses.
// Answers are kept up to Options::answer_bytes in all; beyond that a finished
// order is remembered as ended without its answer. Each operation is O(1).
//
// Trust: a serial is 128 random bits, so that only who was handed a contract
// can use it. Whoever reads it on the way can use it too.
//
// Not thread-safe; node::Node guards it.
#ifndef ALMONDWIND_CONTRACTS_LEDGER_H_
#define ALMONDWIND_CONTRACTS_LEDGER_H_

#include <boost/intrusive/list.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include "almondwind/base/clock.h"
#include "almondwind/base/entropy.h"
#include "almondwind/base/names.h"

namespace almondwind::contracts {

// The host and incarnation that a contract names.
struct ContractParts {
  std::string host;
  uint64_t incarnation = 0;
  std::string serial;
};

// Returns the parts of "host.incarnation.serial", or nothing.
std::optional<ContractParts> ParseContract(const std::string& contract);

enum class ContractState : uint8_t {
  kFresh,
  kRunning,
  kAnswered,
  kEndedUnknown,
  kVoided
};
constexpr base::Names<5> kContractStateNames = {"fresh", "running", "answered",
                                                "ended_unknown", "voided"};

// Answer of an order, given again to a repeat.
struct StoredAnswer {
  uint32_t status = 0;
  std::string content_type;
  std::string body;
};

enum class Verdict : uint8_t {
  kRun,             // run it now; the caller must end it
  kRepeatAnswer,    // answered before: `answer` is what to give
  kInProgress,      // running
  kEndedUnknown,    // it ran, or may have; the answer is lost
  kVoided,          // it was refused unrun, and stays so
  kUnknownContract  // not in this ledger
};

struct BeginResult {
  Verdict verdict = Verdict::kUnknownContract;
  const StoredAnswer* answer = nullptr;  // valid until the next call
};

struct LedgerOptions {
  size_t max_contracts = 65536;
  size_t answer_bytes = 16u << 20;
  // How long a contract may wait for its order.
  base::Millis fresh_lifetime{60'000};
  // How long the end of an order is remembered.
  base::Millis ended_lifetime{120'000};
};

class Ledger {
 public:
  Ledger(std::string host, uint64_t incarnation, LedgerOptions options,
         base::Entropy& entropy);
  Ledger(const Ledger&) = delete;
  Ledger& operator=(const Ledger&) = delete;
  ~Ledger();

  // Returns a new contract, or nothing when the ledger is full.
  std::optional<std::string> Issue(const std::string& service,
                                   base::Millis now);

  // Decides about an order that carries `contract`. After kRun the owner
  // calls exactly one of Void, Answered and Lost.
  BeginResult Begin(const std::string& contract, const std::string& service,
                    base::Millis now);

  // The order was refused unrun; it will never run.
  void Void(const std::string& contract, base::Millis now);
  // The order ran to its answer.
  void Answered(const std::string& contract, StoredAnswer answer,
                base::Millis now);
  // The order ran or may have run; its answer is lost.
  void EndUnknown(const std::string& contract, base::Millis now);

  // Forgets what has outlived its time. Call it now and then.
  void Expire(base::Millis now);

  size_t size() const { return entries_.size(); }
  size_t answer_bytes() const { return answer_bytes_; }

 private:
  struct Entry : public boost::intrusive::list_base_hook<> {
    const std::string* contract = nullptr;  // key of the map's node
    std::string service;
    ContractState state = ContractState::kFresh;
    base::Millis expires{0};
    StoredAnswer answer;
  };
  using EntryList = boost::intrusive::list<Entry>;

  Entry* Find(const std::string& contract);
  void End(const std::string& contract, ContractState state, base::Millis now);
  void ExpireList(EntryList& list, base::Millis now);

  const std::string host_;
  const uint64_t incarnation_;
  const LedgerOptions options_;
  base::Entropy& entropy_;
  std::unordered_map<std::string, Entry> entries_;
  // Both lists are in order of expiry, since each has one fixed life time.
  EntryList fresh_;
  EntryList ended_;
  size_t answer_bytes_ = 0;
};

}  // namespace almondwind::contracts

#endif  // ALMONDWIND_CONTRACTS_LEDGER_H_
