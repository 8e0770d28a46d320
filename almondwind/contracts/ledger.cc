#include "almondwind/contracts/ledger.h"

#include <fmt/format.h>

#include <charconv>
#include <utility>

namespace almondwind::contracts {

std::optional<ContractParts> ParseContract(const std::string& contract) {
  size_t serial_dot = contract.rfind('.');
  if (serial_dot == std::string::npos || serial_dot == 0) return std::nullopt;
  size_t host_dot = contract.rfind('.', serial_dot - 1);
  if (host_dot == std::string::npos || host_dot == 0) return std::nullopt;
  ContractParts name;
  name.host = contract.substr(0, host_dot);
  name.serial = contract.substr(serial_dot + 1);
  const char* first = contract.data() + host_dot + 1;
  const char* last = contract.data() + serial_dot;
  auto [end, error] = std::from_chars(first, last, name.incarnation, 16);
  if (error != std::errc() || end != last || name.serial.empty()) {
    return std::nullopt;
  }
  return name;
}

Ledger::Ledger(std::string host, uint64_t incarnation, LedgerOptions options,
               base::Entropy& entropy)
    : host_(std::move(host)),
      incarnation_(incarnation),
      options_(options),
      entropy_(entropy) {}

Ledger::~Ledger() {
  fresh_.clear();
  ended_.clear();
}

std::optional<std::string> Ledger::Issue(const std::string& service,
                                         base::Millis now) {
  Expire(now);
  if (entries_.size() >= options_.max_contracts) return std::nullopt;
  std::string contract =
      fmt::format("{}.{:x}.{:016x}{:016x}", host_, incarnation_,
                  entropy_.Next(), entropy_.Next());
  auto [it, added] = entries_.try_emplace(contract);
  if (!added) return std::nullopt;
  Entry& entry = it->second;
  entry.contract = &it->first;
  entry.service = service;
  entry.expires = now + options_.fresh_lifetime;
  fresh_.push_back(entry);
  return contract;
}

Ledger::Entry* Ledger::Find(const std::string& contract) {
  auto it = entries_.find(contract);
  return it == entries_.end() ? nullptr : &it->second;
}

BeginResult Ledger::Begin(const std::string& contract,
                          const std::string& service, base::Millis now) {
  Expire(now);
  Entry* entry = Find(contract);
  if (entry == nullptr || entry->service != service) {
    return {Verdict::kUnknownContract, nullptr};
  }
  switch (entry->state) {
    case ContractState::kFresh:
      entry->state = ContractState::kRunning;
      fresh_.erase(fresh_.iterator_to(*entry));
      return {Verdict::kRun, nullptr};
    case ContractState::kRunning:
      return {Verdict::kInProgress, nullptr};
    case ContractState::kAnswered:
      return {Verdict::kRepeatAnswer, &entry->answer};
    case ContractState::kEndedUnknown:
      return {Verdict::kEndedUnknown, nullptr};
    case ContractState::kVoided:
      return {Verdict::kVoided, nullptr};
  }
  return {};
}

void Ledger::End(const std::string& contract, ContractState state,
                 base::Millis now) {
  Entry* entry = Find(contract);
  if (entry == nullptr || entry->state != ContractState::kRunning) return;
  entry->state = state;
  entry->expires = now + options_.ended_lifetime;
  ended_.push_back(*entry);
}

void Ledger::Void(const std::string& contract, base::Millis now) {
  End(contract, ContractState::kVoided, now);
}

void Ledger::Answered(const std::string& contract, StoredAnswer answer,
                      base::Millis now) {
  size_t bytes = answer.body.size();
  bool keep = answer_bytes_ + bytes <= options_.answer_bytes;
  End(contract, keep ? ContractState::kAnswered : ContractState::kEndedUnknown,
      now);
  Entry* entry = Find(contract);
  if (!keep || entry == nullptr) return;
  answer_bytes_ += bytes;
  entry->answer = std::move(answer);
}

void Ledger::EndUnknown(const std::string& contract, base::Millis now) {
  End(contract, ContractState::kEndedUnknown, now);
}

void Ledger::ExpireList(EntryList& list, base::Millis now) {
  while (!list.empty() && list.front().expires <= now) {
    Entry& entry = list.front();
    list.pop_front();
    answer_bytes_ -= entry.answer.body.size();
    // Erases by a copy of the key, because erase destroys the original while
    // it may still refer to its argument.
    entries_.erase(std::string(*entry.contract));
  }
}

void Ledger::Expire(base::Millis now) {
  ExpireList(fresh_, now);
  ExpireList(ended_, now);
}

}  // namespace almondwind::contracts
