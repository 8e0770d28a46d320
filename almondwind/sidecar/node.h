// A sidecar node. Owns the components and connects them.
//
//   documents -> view, route table -> dispatcher, gate, targets of the mesh
//   peers     -> loads, demand, and news of documents
//
// Threading: everything runs on one event loop.
#ifndef ALMONDWIND_SIDECAR_NODE_H_
#define ALMONDWIND_SIDECAR_NODE_H_

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "almondwind/crashes/history.h"
#include "almondwind/loop/timers.h"
#include "almondwind/peers/mesh.h"
#include "almondwind/sidecar/caller_server.h"
#include "almondwind/sidecar/dispatcher.h"
#include "almondwind/sidecar/documents.h"
#include "almondwind/sidecar/environment.h"
#include "almondwind/sidecar/event_log.h"
#include "almondwind/sidecar/gate_server.h"
#include "almondwind/sidecar/page_server.h"
#include "almondwind/sidecar/traffic.h"
#include "almondwind/sidecar/upstream_pool.h"

namespace almondwind::sidecar {

// The platform adapters that a node uses.
struct Environment {
  SettingsSource& settings;
  const Dialect& dialect;
  const ConfigFormat& config_format;
  Feed& feed;
};

class Node : public DocumentsEvents,
             public peers::MeshEvents,
             public CrashObserver {
 public:
  Node(boost::asio::io_context& io, loop::Timers& timers,
       const Settings& settings, Environment environment, uint64_t incarnation,
       EventLog& log);
  ~Node() override;

  void Start();
  // Shuts down gracefully: refuses new work for the upstream, waits until
  // callers have had time to switch to other nodes and work in progress has
  // ended or the grace period is over, then calls `done` with whether all work
  // had ended.
  void Stop(std::function<void(bool complete)> done);
  // Re-reads the settings and applies those that may change at run time.
  void Reload();

  bool ready() const;
  uint64_t config_version() const { return documents_.config_version(); }
  size_t peers_up() const { return mesh_.up_links().size(); }
  // Number of requests of this host in progress.
  size_t calls() const { return dispatcher_.in_progress(); }

  void OnTable(const routes::RouteTablePtr& table) override;
  void OnFleet() override;
  void OnNews() override;
  void OnStoreAvailability() override;

  void OnCrashReports(const std::vector<crashes::Report>& reports) override;

  void OnLinkUp(peers::Link& link) override;
  void OnLinkSilent(peers::Link& link) override;
  void OnLinkDown(peers::Link& link) override;
  void OnFrame(peers::Link& link, peers::Frame frame) override;
  peers::State Report(const std::string& zone) override;
  // The state report, with and without the demand and costs that admission is
  // planned from.
  peers::State DetailedReport();
  peers::State BriefReport() const;

 private:
  void UpdateDirectory();
  // Tells the gate where the upstream has its health page.
  void UpdateHealthPath();
  // Chooses the peers to link to from the addresses of all nodes by zone.
  void UpdatePeers(
      const std::map<std::string, std::vector<std::string>>& nodes_by_zone);
  void OnState(peers::Link& link, const peers::State& state);
  // Adds what a peer reports of crashes, and passes on what its other peers may
  // not have heard.
  void OnPeerCrashReports(const peers::Link& link,
                          const peers::CrashReports& frame);
  http::Response ReadinessPage(const http::Request& request);
  // Pages for operators, at the metrics address: /status, /explain, and the
  // metrics at any other path.
  http::Response OperatorPage(const http::Request& request);
  http::Response MetricsPage();
  nlohmann::json Status();
  // Describes how a request for `target` at `host` would be handled now.
  nlohmann::json Explain(const std::string& host, const std::string& target);
  nlohmann::json DescribeDestination(const routes::Route& route,
                                     const routes::Destination& destination);
  void PollSettings();
  void PollStop();
  void PlanAdmission();
  void LogPlan(const peers::State& own);

  loop::Timers& timers_;
  Settings settings_;
  Environment environment_;
  EventLog& log_;
  const base::Millis started_;
  Documents documents_;
  Metrics metrics_;
  Traffic traffic_;
  crashes::History history_;
  GateServer gate_;
  UpstreamPool pool_;
  Dispatcher dispatcher_;
  peers::Mesh mesh_;
  CallerServer callers_;
  PageServer pages_;
  std::unique_ptr<PageServer> metrics_pages_;
  loop::Timer settings_poll_;
  loop::Timer stop_poll_;
  loop::Timer plan_timer_;
  bool stopping_ = false;
  base::Millis plan_logged_{0};
  // Time of the last detailed report, by other zone.
  std::map<std::string, base::Millis> detailed_report_at_;
  base::Millis stop_began_{0};
  base::Millis stop_length_{0};
  std::function<void(bool)> stop_done_;
};

}  // namespace almondwind::sidecar

#endif  // ALMONDWIND_SIDECAR_NODE_H_
