// The words in which the system tells a caller what became of a request.
//
// Outcome says whether the request ran, Reason says why. Each Reason has one
// row in a table: its name in logs and headers, the HTTP status it is sent
// with, and the remedy that the message names.
#ifndef ALMONDWIND_BASE_OUTCOME_H_
#define ALMONDWIND_BASE_OUTCOME_H_

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

#include "almondwind/base/names.h"

namespace almondwind::base {

// Importance of a request, most important first. A gate refuses a class only
// when it neither holds nor admits a lower one.
enum class RequestClass : uint8_t { kCritical, kHigh, kNormal, kBackground };
constexpr size_t kClassCount = 4;
constexpr Names<kClassCount> kClassNames = {"critical", "high", "normal",
                                            "background"};

inline size_t Index(RequestClass c) { return static_cast<size_t>(c); }

enum class Outcome : uint8_t { kAnswered, kNotRun, kUnknown };
constexpr Names<3> kOutcomeNames = {"answered", "not_run", "unknown"};

// How one HTTP exchange ended, seen from the side that asked.
enum class EndKind : uint8_t {
  kAnswer,       // complete
  kClosed,       // sent, but no complete answer came
  kUnreachable,  // nothing was sent
  kTooLarge      // the answer exceeds the limit
};

enum class Reason : uint8_t {
  kNone,
  kOverload,
  kQueueTimeout,
  kEvicted,
  kEntryWindow,
  kDeadline,
  kLeaving,
  kNoHost,
  kLinkLost,
  kTimeout,
  kCancelled,
  kParentGone,
  kUpstreamClosed,
  kUpstreamShed,
  kRefusedBelow,
  kUpstreamUnreachable,
  kContractRequired,
  kContractUnknown,
  kContractVoided,
  kContractHostGone,
  kOrderInProgress,
  kLedgerFull,
  kUnknownService,
  kWrongClass,
  kMalformed,
  kBodyTooLarge,
  kAnswerTooLarge,
  kTooManyCalls,
  kNotReady,
};
constexpr size_t kReasonCount = 29;

// Name of `reason` in logs, metrics and the X-Reason header.
std::string_view ReasonName(Reason reason);

// HTTP status with which a caller is told of `reason`.
int ReasonStatus(Reason reason);

// One sentence that tells the caller or the operator what to do.
std::string_view ReasonRemedy(Reason reason);

// A fault of the caller's or the operator's input. `what()` names the remedy.
class Error : public std::runtime_error {
 public:
  Error(Reason reason, const std::string& detail);
  Reason reason() const { return reason_; }

 private:
  Reason reason_;
};

}  // namespace almondwind::base

#endif  // ALMONDWIND_BASE_OUTCOME_H_
