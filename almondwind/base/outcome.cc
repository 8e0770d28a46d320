#include "almondwind/base/outcome.h"

#include <array>

namespace almondwind::base {
namespace {

struct ReasonRow {
  Reason reason;
  std::string_view name;
  int status;
  std::string_view remedy;
};

constexpr std::array<ReasonRow, kReasonCount> kReasons = {{
    {Reason::kNone, "none", 200, ""},
    {Reason::kOverload, "overload", 503,
     "the service is at its limit; repeat after Retry-After"},
    {Reason::kQueueTimeout, "queue_timeout", 503,
     "the request waited too long in the queue; repeat after Retry-After"},
    {Reason::kEvicted, "evicted", 503,
     "the request made room for a more important one; repeat later"},
    {Reason::kEntryWindow, "entry_window", 503,
     "a service further down the chain is at its limit; repeat after "
     "Retry-After"},
    {Reason::kDeadline, "deadline", 504,
     "the deadline has passed or cannot be met; allow more time"},
    {Reason::kLeaving, "leaving", 503,
     "the host is leaving; repeat through any other host"},
    {Reason::kNoHost, "no_host", 503,
     "no host of the service can be reached; check the list of hosts"},
    {Reason::kLinkLost, "link_lost", 504,
     "the link broke after the request was sent; repeat it only if it is "
     "idempotent or carries a contract"},
    {Reason::kTimeout, "timeout", 504,
     "no answer came in time; repeat it only if it is idempotent or carries "
     "a contract"},
    {Reason::kCancelled, "cancelled", 499, "the caller went away"},
    {Reason::kParentGone, "parent_gone", 410,
     "the request that this call belongs to has ended; stop working for it"},
    {Reason::kUpstreamClosed, "upstream_closed", 502,
     "the upstream closed the connection without an answer; repeat it only "
     "if it is idempotent or carries a contract"},
    {Reason::kUpstreamShed, "upstream_shed", 503,
     "the upstream refused the request unrun; repeat after Retry-After"},
    {Reason::kRefusedBelow, "refused_below", 503,
     "a service further down the chain refused the request unrun; repeat "
     "after Retry-After"},
    {Reason::kUpstreamUnreachable, "upstream_unreachable", 503,
     "the upstream accepts no connection; check that it runs"},
    {Reason::kUpstreamEnded, "upstream_ended", 502,
     "the upstream ended while it ran the request; repeat it only if it is "
     "idempotent"},
    {Reason::kCrashesUpstreams, "crashes_upstreams", 503,
     "upstreams have ended each time that they ran this request; do not repeat "
     "it before Retry-After, and have its cause looked at"},
    {Reason::kCrashSuspect, "crash_suspect", 503,
     "upstreams have ended under this request, so it runs beside no other such "
     "request; repeat after Retry-After"},
    {Reason::kContractRequired, "contract_required", 428,
     "repeat the order with the contract of the X-Contract header as its "
     "Idempotency-Key"},
    {Reason::kContractUnknown, "contract_unknown", 409,
     "the contract is not held here: it expired or the host was restarted; "
     "look the order up before taking a new contract"},
    {Reason::kContractVoided, "contract_voided", 409,
     "the order was refused unrun and stays so; take a new contract"},
    {Reason::kContractHostGone, "contract_host_gone", 504,
     "the host named in the contract cannot be reached; repeat with the same "
     "contract"},
    {Reason::kOrderInProgress, "order_in_progress", 409,
     "the order is running; repeat with the same contract for its answer"},
    {Reason::kLedgerFull, "ledger_full", 503,
     "the host holds as many contracts as it may; repeat later"},
    {Reason::kUnknownService, "unknown_service", 404,
     "use /TEAM/SERVICE/..., with a service and route that its team declares"},
    {Reason::kWrongClass, "wrong_class", 400,
     "use a class of critical, high, normal, background that is not above "
     "the one its team's policy gives"},
    {Reason::kMalformed, "malformed", 400,
     "send what docs/PROTOCOL.md describes"},
    {Reason::kBodyTooLarge, "body_too_large", 413,
     "send a body within the limit of limits.body_bytes"},
    {Reason::kAnswerTooLarge, "answer_too_large", 502,
     "the request ran, but its answer exceeds limits.answer_bytes; raise the "
     "limit or page the answer"},
    {Reason::kTooManyCalls, "too_many_calls", 503,
     "the node holds as many calls as it may; repeat through another host"},
    {Reason::kNotReady, "not_ready", 503,
     "the node has no policy yet; repeat through another host"},
}};

const ReasonRow& RowOf(Reason reason) {
  return kReasons.at(static_cast<size_t>(reason));
}

}  // namespace

std::string_view ReasonName(Reason reason) { return RowOf(reason).name; }

int ReasonStatus(Reason reason) { return RowOf(reason).status; }

std::string_view ReasonRemedy(Reason reason) { return RowOf(reason).remedy; }

Error::Error(Reason reason, const std::string& detail)
    : std::runtime_error(std::string(ReasonName(reason)) + ": " + detail +
                         "; remedy: " + std::string(ReasonRemedy(reason))),
      reason_(reason) {}

}  // namespace almondwind::base
