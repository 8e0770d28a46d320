// Table of the contracts issued by one gate. A contract is the permission to
// run one order at most once.
//
// A contract is issued before the order and then serves as its Idempotency-Key.
// It names the only host and incarnation that may run the order, so nodes need
// no agreement among each other: the ledger of that gate decides alone.
//
//   auto contract = ledger.Issue("addis/quotations", now);
//   switch (ledger.Begin(*contract, service, now).verdict) ...
//
// Why an order runs at most once: Begin returns kRun only for an entry in state
// kFresh, and moves it to kRunning in the same step. An order whose contract is
// not in the ledger is never run. So the loss of an entry, by expiry or by a
// restart that loses them all, can only lead to refusals.
//
// Bounds: at most LedgerOptions::max_contracts entries; Issue fails when the
// ledger is full. The bodies of stored answers take at most
// LedgerOptions::answer_bytes in total; an order whose answer does not fit is
// recorded as ended with an unknown outcome. Every operation takes amortized
// constant time.
//
// Security: a serial consists of 128 random bits, so only a client that has
// received a contract can use it. The contract is a bearer token: anyone who
// can read it on the network can use it too.
//
// Not thread-safe; callers must serialize access.
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

// The parts of a contract, which is written as "host.incarnation.serial" with
// the incarnation in hexadecimal.
struct ContractParts {
  std::string host;
  uint64_t incarnation = 0;
  std::string serial;
};

// Returns the parts of `contract`, or nullopt if it is malformed.
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

// Answer of an order, returned again when the order is repeated.
struct StoredAnswer {
  uint32_t status = 0;
  std::string content_type;
  std::string body;
};

enum class Verdict : uint8_t {
  kRun,             // run the order now; the caller must report its end
  kRepeatAnswer,    // already answered; return `answer`
  kInProgress,      // the order is running
  kEndedUnknown,    // the order ran or may have run; its answer is lost
  kVoided,          // the order was refused without being run; it never will be
  kUnknownContract  // not in this ledger
};

struct BeginResult {
  Verdict verdict = Verdict::kUnknownContract;
  // Set with kRepeatAnswer; valid until the next call of the ledger.
  const StoredAnswer* answer = nullptr;
};

struct LedgerOptions {
  size_t max_contracts = 65536;
  size_t answer_bytes = 16u << 20;
  // How long a contract may be unused before it expires.
  base::Millis fresh_lifetime{60'000};
  // How long the result of an ended order is kept.
  base::Millis ended_lifetime{120'000};
};

class Ledger {
 public:
  Ledger(std::string host, uint64_t incarnation, LedgerOptions options,
         base::Entropy& entropy);
  Ledger(const Ledger&) = delete;
  Ledger& operator=(const Ledger&) = delete;
  ~Ledger();

  // Returns a new contract, or nullopt if the ledger is full.
  std::optional<std::string> Issue(const std::string& service,
                                   base::Millis now);

  // Returns how to proceed with an order that carries `contract`. After kRun
  // the caller must call exactly one of Void, Answered and EndUnknown.
  BeginResult Begin(const std::string& contract, const std::string& service,
                    base::Millis now);

  // Records that the order was refused without being run; it will never run.
  void Void(const std::string& contract, base::Millis now);
  // Records that the order ran, and stores its answer if there is room.
  void Answered(const std::string& contract, StoredAnswer answer,
                base::Millis now);
  // Records that the order ran or may have run, and that its answer is lost.
  void EndUnknown(const std::string& contract, base::Millis now);

  // Removes expired entries. Issue and Begin call it; call it regularly as well
  // so that memory is released without them.
  void Expire(base::Millis now);

  size_t size() const { return entries_.size(); }
  size_t answer_bytes() const { return answer_bytes_; }

 private:
  struct Entry : public boost::intrusive::list_base_hook<> {
    const std::string* contract = nullptr;  // key of this entry in entries_
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
  // Each list is in order of expiry, because all of its entries have the same
  // lifetime. Running entries are in neither list and do not expire.
  EntryList fresh_;
  EntryList ended_;
  size_t answer_bytes_ = 0;
};

}  // namespace almondwind::contracts

#endif  // ALMONDWIND_CONTRACTS_LEDGER_H_
