// What this node knows of the platform's documents: the operators'
// configuration and the list of upstreams.
//
// A few nodes of each zone read the platform's store (fleet/reader_election.h).
// When they learn of a newer document they tell the nodes of their zone, which
// then request what they lack. A node whose zone does not deliver asks peers of
// other zones. A document never replaces a newer one.
//
//   Documents documents(timers, options, environment, log, events);
//   documents.Start();
//   documents.FillState(state);        // in every state report
//   documents.OnState(link, state);    // of every peer
//
// Cost: a change costs a request and a response for each node of the zone; the
// response holds the changes only. Not thread-safe.
#ifndef ALMONDWIND_SIDECAR_DOCUMENTS_H_
#define ALMONDWIND_SIDECAR_DOCUMENTS_H_

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "almondwind/fleet/catch_up.h"
#include "almondwind/fleet/outage_detector.h"
#include "almondwind/fleet/reader_election.h"
#include "almondwind/fleet/view.h"
#include "almondwind/loop/timers.h"
#include "almondwind/peers/mesh.h"
#include "almondwind/sidecar/environment.h"
#include "almondwind/sidecar/event_log.h"

namespace almondwind::sidecar {

struct DocumentsOptions {
  std::string address;  // "ip:port" at which peers reach this node
  std::string zone;
  fleet::ElectionOptions election;
  fleet::OutageOptions outage;
  fleet::ViewOptions view;
  fleet::CatchUpOptions catch_up;
};

class DocumentsEvents {
 public:
  virtual ~DocumentsEvents() = default;
  virtual void OnTable(const routes::RouteTablePtr& table) = 0;
  virtual void OnFleet() = 0;
  // A newer document came from the store or another zone; peers of the own zone
  // lack it.
  virtual void OnNews() = 0;
  // The store has begun to fail for this node, or answers again.
  virtual void OnStoreAvailability() = 0;
};

class Documents : public FeedEvents {
 public:
  Documents(loop::Timers& timers, const DocumentsOptions& options,
            const ConfigFormat& format, Feed& feed, EventLog& log,
            DocumentsEvents& events);

  void Start();
  void Stop() { feed_.Stop(); }
  // Follows the store as the election has it. Called a few times per second.
  void UpdateWatch();

  const fleet::View& view() const { return view_; }
  const routes::RouteTablePtr& table() const { return table_; }
  uint64_t config_version() const;
  fleet::WatchMode watch_mode() const { return mode_; }
  // Time since which changes of the store may have been missed.
  base::Millis confirmed_at() const { return election_.confirmed_at(); }

  void FillState(peers::State& state) const;
  void OnState(peers::Link& link, const peers::State& state);
  void OnLinkDown(const peers::Link& link);
  void OnRequest(peers::Link& link, const peers::DocumentRequest& request);
  void OnDocument(const peers::Link& link, const peers::Document& document);

  void OnConfig(const std::string& document) override;
  void OnUpstreams(const std::vector<fleet::Upstream>& upstreams,
                   const fleet::Revision& revision) override;
  void OnUpstream(const fleet::Upstream& upstream) override;
  void OnUpstreamGone(const std::string& id,
                      const fleet::Revision& revision) override;
  void OnRevision(const fleet::Revision& revision) override;
  void OnEpoch(const fleet::Revision& revision) override;
  void OnListed(const fleet::Revision& revision, bool stale) override;
  void OnAvailable(bool available, const std::string& why) override;
  void OnWatchUnanswered(const fleet::Revision& revision) override;
  void OnUnreadable(const std::string& key, const std::string& why) override;

 private:
  // Fetches a document that peers have a newer version of.
  struct Fetch {
    Fetch(const fleet::CatchUpOptions& options, loop::Timers& timers)
        : catch_up(options), timer(timers) {}
    fleet::CatchUp catch_up;
    // Links to peers that have reported it, the next to be asked first.
    std::deque<peers::LinkPtr> sources;
    loop::Timer timer;
  };

  // State of an upstream as this node believes it.
  enum class UpstreamState : uint8_t {
    kUnknown,  // not listed
    kReady,
    kDraining,
    kVanished,  // removed without having been marked as draining; still used
    kDoubted    // listed by the restored store, though it has left; not used
  };
  static constexpr base::Names<5> kUpstreamStateNames = {
      "unknown", "ready", "draining", "vanished", "doubted"};

  // The store answered this node or a peer at time `at`.
  void OnStoreAnswered(base::Millis at);
  // The store answered this node or a peer in `epoch` at time `at`.
  void OnEpochSeen(uint64_t epoch, base::Millis at, const char* source);
  bool ApplyConfig(const std::string& document, const std::string& source);
  // `source` of the change, for the log: "store", "peer" or "sweep".
  void OnViewChanged(const char* source);
  void LogUpstreamStates(const char* source);
  UpstreamState StateOf(const fleet::Upstream& upstream) const;
  void ScheduleSweep();
  void SweepView();
  // Takes the time in which this node did not run out of account.
  void NotePause();
  peers::DocumentVersion VersionOf(peers::DocumentKind kind) const;
  Fetch& FetchOf(peers::DocumentKind kind);
  // A peer has reported its version of a document.
  void OnVersion(peers::Link& link, peers::DocumentKind kind,
                 const peers::DocumentVersion& theirs);
  // Requests the document if that is due, and sets the time of the next
  // request.
  void RequestIfDue(peers::DocumentKind kind);

  loop::Timers& timers_;
  const DocumentsOptions options_;
  const ConfigFormat& format_;
  Feed& feed_;
  EventLog& log_;
  DocumentsEvents& events_;
  fleet::View view_;
  std::map<std::string, UpstreamState> logged_states_;  // by upstream id
  fleet::ReaderElection election_;
  fleet::OutageDetector outage_;
  fleet::WatchMode mode_ = fleet::WatchMode::kShort;
  routes::RouteTablePtr table_;
  std::string config_document_;
  // Revision of the store up to which both documents are complete.
  fleet::Revision complete_revision_;
  // Newest epoch of the store, and the time of its first answer in it, as far
  // as this node and its peers know; 0 before the first answer.
  uint64_t epoch_ = 0;
  base::Millis epoch_since_{0};
  bool news_ = false;  // changes from the store have not been told to peers
  Fetch config_fetch_;
  Fetch fleet_fetch_;
  loop::Timer sweep_;
  base::Millis last_ran_{0};  // this node, as far as this class knows
};

}  // namespace almondwind::sidecar

#endif  // ALMONDWIND_SIDECAR_DOCUMENTS_H_
