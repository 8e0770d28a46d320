// The outbound half of a node: routes each call to a machine, retries it, and
// determines its outcome.
//
// A call is one request to one service: an entry request of a caller, an inner
// call that the upstream makes for a run, or a request for a contract. The
// router picks a machine and sends the call to it. After a refusal or failure
// it tries another machine as long as retry permits remain.
//
// Permits are the retry budget of a user request over the whole call chain.
// They are conserved: created once at the entry, passed downstream with a call,
// and returned unspent with its answer. Permits in a lost message are not
// replaced, so the bound holds under any message loss, duplication or pause.
//
// Outcomes: a call is reported as "not run" only if no attempt was sent, or
// each attempt sent was refused by its gate. An order with a contract may have
// been sent by another node before, so only the gate of that contract may
// report it as "not run".
//
// Message ids are never reused in the lifetime of the process, so a late answer
// matches no call and is dropped.
//
// Bounds: RouterLimits::calls calls in progress and RouterLimits::parked calls
// waiting for a link; a call beyond either is refused without being sent. Not
// thread-safe; Node guards it.
#ifndef ALMONDWIND_NODE_ROUTER_H_
#define ALMONDWIND_NODE_ROUTER_H_

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "almondwind/node/shell.h"
#include "almondwind/teams/policy.h"
#include "almondwind/zones/directory.h"
#include "almondwind/zones/picker.h"

namespace almondwind::node {

// The result of a call.
struct CallResult {
  base::Outcome outcome = base::Outcome::kUnknown;
  base::Reason reason = base::Reason::kNone;
  links::Answer answer;  // of the last attempt that was answered
  uint32_t permits = 0;  // unspent
  base::Millis retry_after{0};
};

struct Call : public boost::intrusive_ref_counter<Call> {
  uint64_t id = 0;          // the same for all attempts
  uint64_t caller = 0;      // 0: none
  uint64_t parent_run = 0;  // 0: an entry request
  links::CallKind kind = links::CallKind::kRequest;
  machines::RequestPtr request;
  uint32_t permits = 0;       // held here, excluding permits_sent
  uint32_t permits_sent = 0;  // with the attempt in progress
  std::string fixed_host;     // host of the contract; empty: any
  bool in_window = false;     // counted by the entry window of its route

  // Set by the router.
  std::shared_ptr<const teams::ServicePolicy> policy;
  std::vector<std::string> tried;
  bool maybe_ran = false;     // an attempt had an unknown outcome
  zones::MachinePtr machine;  // of the attempt in progress
  uint64_t message_id = 0;    // of the attempt in progress, 0: none
  uint32_t attempts = 0;
  base::Millis parked_until{0};
};
using CallPtr = boost::intrusive_ptr<Call>;

class RouterEvents {
 public:
  virtual ~RouterEvents() = default;
  virtual void OnCallFinished(Call& call, CallResult result) = 0;
  // A call or cancellation for the gate of this node.
  virtual void SendLocal(const links::Call& call) = 0;
  virtual void CancelLocal(uint64_t id) = 0;
};

struct RouterLimits {
  size_t calls = 20'000;
  size_t parked = 2'000;
  // How long a call waits for a link to come up.
  base::Millis dial_timeout{300};
};

struct RouterCounts {
  uint64_t attempts = 0;
  uint64_t retries = 0;
  uint64_t late_answers = 0;
  uint64_t lost_attempts = 0;
};

class Router {
 public:
  Router(zones::DirectoryOptions directory, RouterLimits limits, Links& links,
         RouterEvents& events, DecisionLog& log, uint64_t seed);

  void Start(const CallPtr& call, base::Millis now);
  // Ends a call whose caller has disconnected: makes no further attempts and
  // cancels the one in flight, downstream too.
  void Cancel(uint64_t call, base::Millis now);
  void OnAnswer(const std::string& host, links::Answer answer,
                base::Millis now);
  void OnLinkUp(const links::Welcome& welcome, base::Millis now);
  void OnLinkDown(const std::string& host, base::Millis now);
  void OnLeaving(const std::string& host, bool leaving);
  void Tick(base::Millis now);

  zones::Directory& directory() { return directory_; }
  const zones::Directory& directory() const { return directory_; }
  const RouterCounts& counts() const { return counts_; }
  size_t call_count() const { return calls_.size(); }
  size_t parked_count() const { return parked_.size(); }

 private:
  enum class Choice : uint8_t { kChosen, kDialing, kOverloaded, kNone };
  struct Link {
    uint64_t session = 0;
    uint64_t incarnation = 0;
  };

  // Whether a call may be sent to a machine. CheckEligibility gives a reason
  // with every value but kEligible.
  enum class Eligibility : uint8_t {
    kEligible,
    kFallback,  // ejected or unresponsive; used if none is eligible
    kOverloaded,
    kDialing,
    kIneligible
  };

  void Attempt(const CallPtr& call, base::Millis now);
  Eligibility CheckEligibility(const Call& call, const zones::Machine& machine,
                               base::Millis now, std::string_view& why);
  Choice Choose(Call& call, base::Millis now, zones::MachinePtr& chosen,
                Decision& decision);
  Choice ChooseFixed(Call& call, zones::MachinePtr& chosen);
  bool IsLocal(const zones::Machine& machine) const;
  bool SendTo(Call& call, const zones::MachinePtr& machine, base::Millis now,
              Decision& decision);
  void Park(const CallPtr& call, base::Millis now);
  void Finish(Call& call, base::Outcome outcome, base::Reason reason,
              base::Millis now, links::Answer answer = {});
  void FinishNotInFlight(Call& call, base::Reason reason, base::Millis now);
  void OnAttemptEnd(const CallPtr& call, links::Answer answer,
                    base::Millis now);
  void OnAttemptLost(const CallPtr& call, base::Reason reason,
                     base::Millis now);
  bool MayRetry(const Call& call, base::Outcome outcome, base::Reason reason,
                base::Millis now) const;
  void LogRoute(const Call& call, Decision& decision);
  const zones::Picker& PickerNamed(const std::string& name);
  double Jitter();

  RouterLimits limits_;
  Links& links_;
  RouterEvents& events_;
  DecisionLog& log_;
  zones::Directory directory_;
  std::string self_;
  std::string zone_;
  std::string region_;
  zones::Random random_;
  std::map<std::string, std::unique_ptr<zones::Picker>> pickers_;
  std::unordered_map<std::string, Link> link_by_host_;
  std::unordered_map<uint64_t, CallPtr> calls_;       // by call id
  std::unordered_map<uint64_t, CallPtr> by_message_;  // by message id
  std::unordered_map<uint64_t, CallPtr> parked_;      // by call id
  uint64_t next_message_ = 1;
  RouterCounts counts_;
};

// Whether `reason` means that a gate refused for load.
bool IsLoadRefusal(base::Reason reason);

}  // namespace almondwind::node

#endif  // ALMONDWIND_NODE_ROUTER_H_
