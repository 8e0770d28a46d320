// Request classes, outcomes and reasons, as reported to callers.
//
// Outcome says whether a request ran, and Reason why it ended that way. A table
// gives for each Reason its name in logs and headers, its HTTP status, and the
// remedy to include in messages.
#ifndef ALMONDWIND_BASE_OUTCOME_H_
#define ALMONDWIND_BASE_OUTCOME_H_

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

#include "almondwind/base/names.h"

namespace almondwind::base {

// Importance of a request, most important first. A gate refuses a request only
// while it neither holds nor admits requests of a lower class.
enum class RequestClass : uint8_t { kCritical, kHigh, kNormal, kBackground };
constexpr size_t kClassCount = 4;
constexpr Names<kClassCount> kClassNames = {"critical", "high", "normal",
                                            "background"};

inline size_t Index(RequestClass c) { return static_cast<size_t>(c); }

// Whether a request ran. kUnknown: it may or may not have run.
enum class Outcome : uint8_t { kAnswered, kNotRun, kUnknown };
constexpr Names<3> kOutcomeNames = {"answered", "not_run", "unknown"};

// How an HTTP exchange ended, as seen by the client.
enum class EndKind : uint8_t {
  kAnswer,       // a complete answer was received
  kClosed,       // the request was sent; the peer ended without an answer
  kUnusable,     // the request was sent, but what came is no answer to it
  kUnreachable,  // nothing was sent
  kTooLarge      // the answer exceeds the size limit
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
  kUpstreamEnded,
  kCrashesUpstreams,
  kCrashSuspect,
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
constexpr size_t kReasonCount = 32;

// Returns the name of `reason` in logs, metrics and the X-Reason header.
std::string_view ReasonName(Reason reason);

// Returns the HTTP status of a response with this reason.
int ReasonStatus(Reason reason);

// Returns a sentence that tells the caller or operator what to do.
std::string_view ReasonRemedy(Reason reason);

// Error in the input of a caller or an operator. what() includes the remedy.
class Error : public std::runtime_error {
 public:
  Error(Reason reason, const std::string& detail);
  Reason reason() const { return reason_; }

 private:
  Reason reason_;
};

}  // namespace almondwind::base

#endif  // ALMONDWIND_BASE_OUTCOME_H_
