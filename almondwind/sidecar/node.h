// One sidecar node: it owns the parts and connects them.
//
//   feed  -> view, route table -> dispatcher, gate, mesh's targets
//   peers -> loads, and documents where the node is behind
//
// What the platform publishes comes from its store or, when the store turns
// this node away, from any peer that is ahead. A configuration or list never
// replaces a newer one.
//
// Threads: all of it runs on one event loop.
#ifndef ALMONDWIND_SIDECAR_NODE_H_
#define ALMONDWIND_SIDECAR_NODE_H_

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "almondwind/fleet/view.h"
#include "almondwind/loop/timers.h"
#include "almondwind/peers/mesh.h"
#include "almondwind/sidecar/caller_server.h"
#include "almondwind/sidecar/dispatcher.h"
#include "almondwind/sidecar/environment.h"
#include "almondwind/sidecar/event_log.h"
#include "almondwind/sidecar/gate_server.h"
#include "almondwind/sidecar/page_server.h"
#include "almondwind/sidecar/traffic.h"
#include "almondwind/sidecar/upstream_pool.h"

namespace almondwind::sidecar {

// The platform as the node sees it.
struct Environment {
  SettingsSource& settings;
  const Dialect& dialect;
  const ConfigFormat& config_format;
  Feed& feed;
};

class Node : public FeedEvents, public peers::MeshEvents {
 public:
  Node(boost::asio::io_context& io, loop::Timers& timers,
       const Settings& settings, Environment environment, uint64_t incarnation,
       EventLog& log);
  ~Node() override;

  void Start();
  // Leaves: no new work for the upstream, then, when callers have had time to
  // go elsewhere, `done` with whether all that was in progress has ended.
  void Stop(std::function<void(bool whole)> done);
  // Takes changed settings.
  void Reload();

  bool ready() const;
  uint64_t config_version() const;
  size_t peers_up() const { return mesh_.up_links().size(); }
  // Requests of this host that are in progress.
  size_t calls() const { return dispatcher_.in_progress(); }

  void OnConfig(const std::string& document) override;
  void OnUpstreams(const std::vector<fleet::Upstream>& upstreams,
                   uint64_t revision) override;
  void OnUpstream(const fleet::Upstream& upstream) override;
  void OnUpstreamGone(const std::string& id, uint64_t revision) override;
  void OnRevision(uint64_t revision) override;
  void OnAvailable(bool available, const std::string& why) override;
  void OnUnreadable(const std::string& key, const std::string& why) override;

  void OnLinkUp(peers::Link& link) override;
  void OnLinkDown(peers::Link& link) override;
  void OnFrame(peers::Link& link, peers::Frame frame) override;
  peers::State Report(const std::string& zone) override;
  // The state with this node's part of the plan.
  peers::State DetailedReport();
  peers::State BriefReport() const;

 private:
  // The newest version of a document that a peer has told of, while this node
  // has an older one.
  struct Behind {
    uint64_t newest = 0;
    base::Millis since{0};
    base::Millis asked{0};
  };

  void TakeConfig(const std::string& document, const std::string& source);
  void OnViewChanged();
  void UpdateDirectory();
  void SweepView();
  void OnState(peers::Link& link, const peers::State& state);
  void AskIfBehind(peers::Link& link, peers::DocumentKind kind, Behind& behind,
                   uint64_t theirs, uint64_t ours);
  void OnAsk(peers::Link& link, const peers::DocumentRequest& ask);
  void OnDocument(const peers::Document& document);
  http::Response Page(const http::Request& request);
  // Pages for operators, on the metrics address: /status, /explain, metrics.
  http::Response OperatorsPage(const http::Request& request);
  http::Response MetricsPage();
  nlohmann::json Status();
  // How a request for `target` at `host` would be treated now.
  nlohmann::json Explain(const std::string& host, const std::string& target);
  nlohmann::json DescribePart(const routes::Route& route,
                              const routes::Part& part);
  void PollSettings();
  void PollStop();
  void PlanAdmission();
  void LogPlan(const peers::State& own);

  loop::Timers& timers_;
  Settings settings_;
  Environment environment_;
  EventLog& log_;
  const base::Millis started_;
  fleet::View view_;
  routes::RouteTablePtr table_;
  std::string config_document_;
  Metrics metrics_;
  Traffic traffic_;
  GateServer gate_;
  UpstreamPool pool_;
  Dispatcher dispatcher_;
  peers::Mesh mesh_;
  CallerServer callers_;
  PageServer pages_;
  std::unique_ptr<PageServer> metrics_pages_;
  loop::Timer sweep_;
  loop::Timer settings_poll_;
  loop::Timer stop_poll_;
  loop::Timer plan_;
  Behind config_behind_;
  Behind fleet_behind_;
  bool stopping_ = false;
  base::Millis plan_logged_{0};
  std::map<std::string, base::Millis> detailed_;  // last told, by other zone
  base::Millis stop_began_{0};
  std::function<void(bool)> stop_done_;
};

}  // namespace almondwind::sidecar

#endif  // ALMONDWIND_SIDECAR_NODE_H_
