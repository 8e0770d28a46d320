#include "almondwind/sidecar/node.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "almondwind/crashes/identity.h"
#include "almondwind/zones/peer_selection.h"

namespace almondwind::sidecar {

using base::Millis;
using base::Reason;

namespace {

// Time after the start for which readiness waits for links to come up.
constexpr Millis kLinkUpTimeout{1000};
constexpr Millis kSettingsPollInterval{1000};
constexpr Millis kShutdownPollInterval{50};
// Interval of admission planning, half that of the peers' heartbeats.
constexpr Millis kPlanInterval{250};
constexpr Millis kPlanLogInterval{2000};
// Minimum time between reports of demand and costs to another zone: they go
// with every second heartbeat.
constexpr Millis kDetailInterval{950};
constexpr Millis kReportRoundTime{20};
// Minimum duration of a graceful shutdown. Callers notice it within two
// readiness checks, one second each, and then use other nodes.
constexpr Millis kMinShutdownTime{2300};
// Reserved at the end of the grace period for the process to exit.
constexpr Millis kExitMargin{500};

// The platform removes the entry of an upstream after so many missed
// heartbeats, and a node learns of it within the margin.
constexpr int kHeartbeatsUntilLapse = 3;
constexpr Millis kLapseMargin{1500};

// Names come from clients and operators and may hold bytes that are not UTF-8,
// which are replaced.
std::string ToText(const nlohmann::json& page) {
  return page.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

peers::CrashReports ToFrame(const std::vector<crashes::Report>& reports) {
  peers::CrashReports frame;
  for (const crashes::Report& report : reports) {
    frame.reports.push_back({report.request, report.upstream,
                             static_cast<uint64_t>(report.age.count())});
  }
  return frame;
}

peers::MeshOptions MeshOptionsFrom(const Settings& s, uint64_t incarnation,
                                   const Dialect& dialect) {
  peers::MeshOptions o;
  o.address = s.links;
  o.listen = s.bind_links;
  o.zone = s.zone;
  o.incarnation = incarnation;
  o.header_names = dialect.CommonNames();
  return o;
}

DocumentsOptions DocumentsOptionsFrom(const Settings& s) {
  DocumentsOptions o;
  o.address = s.links;
  o.zone = s.zone;
  // No entry expires in a shorter outage: it takes that many heartbeats of
  // silence, of which one may have passed before. Heartbeats come up to a fifth
  // early or late.
  o.outage.silence = s.heartbeat * (kHeartbeatsUntilLapse - 1) * 4 / 5;
  o.view.doubt_delay = s.heartbeat * kHeartbeatsUntilLapse + kLapseMargin;
  return o;
}

DispatcherOptions DispatcherOptionsFrom(const Settings& s) {
  DispatcherOptions o;
  o.service = s.service;
  o.link = s.links;
  o.zone = s.zone;
  o.region = s.region;
  return o;
}

CallerServerOptions CallerOptionsFrom(const Settings& s) {
  CallerServerOptions o;
  o.listen = s.callers;
  // Half of the file descriptors; the others are for links, the upstream and
  // files.
  o.connections = static_cast<size_t>(std::max(16, s.max_descriptors / 2));
  return o;
}

UpstreamPoolOptions PoolOptionsFrom(const Settings& s) {
  UpstreamPoolOptions o;
  o.connections = static_cast<size_t>(std::max(16, s.max_descriptors / 4));
  return o;
}

}  // namespace

Node::Node(boost::asio::io_context& io, loop::Timers& timers,
           const Settings& settings, Environment environment,
           uint64_t incarnation, EventLog& log)
    : timers_(timers),
      settings_(settings),
      environment_(environment),
      log_(log),
      started_(timers.Now()),
      documents_(timers, DocumentsOptionsFrom(settings),
                 environment.config_format, environment.feed, log, *this),
      traffic_(TrafficOptions(), timers.clock()),
      history_(crashes::HistoryOptions()),
      gate_(timers, environment.dialect, GateServerOptions(), log, metrics_,
            traffic_, history_, *this),
      pool_(io, timers, environment.dialect, PoolOptionsFrom(settings), gate_),
      dispatcher_(timers, environment.dialect, DispatcherOptionsFrom(settings),
                  gate_, traffic_, history_, log, metrics_, incarnation),
      mesh_(io, timers,
            MeshOptionsFrom(settings, incarnation, environment.dialect), *this),
      callers_(io, timers, CallerOptionsFrom(settings), dispatcher_),
      pages_(io, timers, settings.ready,
             [this](const http::Request& r) { return ReadinessPage(r); }),
      settings_poll_(timers),
      stop_poll_(timers),
      plan_timer_(timers) {
  gate_.Attach(pool_);
  pool_.SetAddress(settings.upstream);
  dispatcher_.Attach(mesh_);
  dispatcher_.retry_budget().Configure(settings.retry_budget);
  if (!settings.metrics.empty()) {
    metrics_pages_ = std::make_unique<PageServer>(
        io, timers, settings.metrics,
        [this](const http::Request& r) { return OperatorPage(r); });
  }
}

Node::~Node() = default;

void Node::Start() {
  mesh_.Listen();
  documents_.Start();
  settings_poll_.Start(kSettingsPollInterval, [this] { PollSettings(); });
  PlanAdmission();
  log_.Write("started", {{"service", settings_.service},
                         {"upstream", settings_.upstream},
                         {"zone", settings_.zone}});
}

bool Node::ready() const {
  if (stopping_ || documents_.table() == nullptr) return false;
  if (!documents_.view().revision().known()) return false;
  if (timers_.Now() - started_ > kLinkUpTimeout) return true;
  std::set<std::string> peers;
  for (const auto& [name, machine] : dispatcher_.directory().machines()) {
    peers.insert(machine->entry().link);
  }
  size_t up = mesh_.up_links().size() + 1;
  return up * 2 >= peers.size();
}

// ---- What the platform publishes.

void Node::OnTable(const routes::RouteTablePtr& table) {
  dispatcher_.SetTable(table);
  traffic_.SetTable(table);
  UpdateHealthPath();
}

void Node::UpdateHealthPath() {
  if (documents_.table() == nullptr) return;
  const auto& services = documents_.table()->services();
  auto service = services.find(settings_.service);
  gate_.SetHealthPath(service == services.end() ? std::string()
                                                : service->second.health_path);
}

void Node::OnFleet() {
  UpdateDirectory();
  gate_.SetUpstream(documents_.view().AtAddress(settings_.upstream));
}

void Node::OnNews() { mesh_.BroadcastState(settings_.zone); }

void Node::OnStoreAvailability() { mesh_.BroadcastState(); }

void Node::UpdateDirectory() {
  std::map<std::string, std::vector<zones::HostEntry>> by_service;
  std::map<std::string, std::vector<std::string>> nodes_by_zone;
  for (const auto& [name, machine] : dispatcher_.directory().machines()) {
    // A service that no longer has upstreams gets an empty list.
    by_service[machine->entry().service];
  }
  for (const fleet::Upstream* upstream : documents_.view().Current()) {
    zones::HostEntry entry;
    entry.name = upstream->id;
    entry.service = upstream->service;
    entry.zone = upstream->zone;
    entry.region = settings_.region;
    entry.leaving =
        upstream->draining ||
        dispatcher_.HasAnnouncedLeaving(upstream->id, upstream->started_at);
    entry.started_at = upstream->started_at;
    std::string ip = upstream->address.substr(0, upstream->address.rfind(':'));
    entry.link = ip + ":" + std::to_string(settings_.peer_port);
    nodes_by_zone[entry.zone].push_back(entry.link);
    by_service[upstream->service].push_back(std::move(entry));
  }
  for (auto& [service, hosts] : by_service) {
    dispatcher_.directory().Update(service, std::move(hosts));
  }
  UpdatePeers(nodes_by_zone);
}

void Node::UpdatePeers(
    const std::map<std::string, std::vector<std::string>>& nodes_by_zone) {
  std::set<std::string> called;
  for (const auto& [name, machine] : dispatcher_.directory().machines()) {
    called.insert(machine->entry().link);
  }
  zones::PeerSelectionOptions options;
  options.address = settings_.links;
  options.zone = settings_.zone;
  std::set<std::string> peers =
      zones::SelectPeers(options, std::move(called), nodes_by_zone);
  mesh_.SetTargets({peers.begin(), peers.end()});
  std::map<std::string, size_t> sizes;
  size_t nodes = 0;
  for (const auto& [zone, addresses] : nodes_by_zone) {
    sizes[zone] = addresses.size();
    nodes += addresses.size();
  }
  traffic_.SetZoneSizes(std::move(sizes));
  dispatcher_.retry_budget().SetNodes(nodes);
}

// ---- Peers.

void Node::OnLinkUp(peers::Link& link) {
  log_.Write("peer_up", {{"peer", link.peer()}, {"zone", link.zone()}});
  if (!history_.empty()) {
    link.Send(ToFrame(history_.Reports(timers_.Now())));
  }
}

void Node::OnCrashReports(const std::vector<crashes::Report>& reports) {
  peers::CrashReports frame = ToFrame(reports);
  for (peers::Link* link : mesh_.up_links()) link->Send(frame);
}

void Node::OnPeerCrashReports(const peers::Link& link,
                              const peers::CrashReports& frame) {
  Millis now = timers_.Now();
  std::vector<crashes::Report> news;
  for (const peers::CrashReport& row : frame.reports) {
    crashes::Report report{row.request, row.upstream,
                           Millis(static_cast<int64_t>(row.age_ms))};
    if (!history_.Add(report, now)) continue;
    int crashes = history_.StandingOf(row.request, now).crashes;
    // After one end all requests that were in progress are suspected, too many
    // to pass on: the peers of that node have heard of them.
    if (crashes == 1) continue;
    log_.Write("crash_reported", {{"request", crashes::ShortName(row.request)},
                                  {"upstream", row.upstream},
                                  {"age_ms", row.age_ms},
                                  {"crashes", crashes},
                                  {"peer", link.peer()}});
    news.push_back(std::move(report));
  }
  if (news.empty()) return;
  peers::CrashReports passed_on = ToFrame(news);
  for (peers::Link* other : mesh_.up_links()) {
    if (other != &link) other->Send(passed_on);
  }
}

void Node::OnLinkSilent(peers::Link& link) {
  log_.Write("peer_silent", {{"peer", link.peer()}, {"zone", link.zone()}});
  documents_.OnLinkDown(link);
  dispatcher_.OnLinkSilent(link.serial());
}

void Node::OnLinkDown(peers::Link& link) {
  log_.Write("peer_lost", {{"peer", link.peer()}});
  documents_.OnLinkDown(link);
  gate_.CancelLink(link.serial());
  dispatcher_.OnLinkDown(link.serial());
}

void Node::OnFrame(peers::Link& link, peers::Frame frame) {
  if (auto* call = std::get_if<peers::Call>(&frame)) {
    peers::LinkPtr keep(&link);
    CallKey key{link.serial(), call->id};
    gate_.Offer(key, std::move(*call),
                [keep](const peers::Frame& reply) { keep->Send(reply); });
  } else if (auto* part = std::get_if<peers::BodyPart>(&frame);
             part != nullptr && part->of_request) {
    gate_.OnBodyPart({link.serial(), part->id}, *part);
  } else if (auto* credit = std::get_if<peers::Credit>(&frame);
             credit != nullptr && !credit->of_request) {
    gate_.OnCredit({link.serial(), credit->id}, credit->bytes);
  } else if (auto* cancel = std::get_if<peers::Cancel>(&frame)) {
    gate_.Cancel({link.serial(), cancel->id});
  } else if (auto* reports = std::get_if<peers::CrashReports>(&frame)) {
    OnPeerCrashReports(link, *reports);
  } else if (auto* state = std::get_if<peers::State>(&frame)) {
    OnState(link, *state);
  } else if (auto* request = std::get_if<peers::DocumentRequest>(&frame)) {
    documents_.OnRequest(link, *request);
  } else if (auto* document = std::get_if<peers::Document>(&frame)) {
    documents_.OnDocument(link, *document);
  } else {
    dispatcher_.OnFrame(std::move(frame));
  }
}

// Traffic between zones is charged by the byte, so other zones get detailed
// reports less often.
peers::State Node::Report(const std::string& zone) {
  Millis now = timers_.Now();
  if (zone == settings_.zone) return DetailedReport();
  Millis& reported_at = detailed_report_at_[zone];
  // All links to a zone are served within kReportRoundTime and get the same
  // kind of report.
  if (now - reported_at >= kDetailInterval ||
      now - reported_at < kReportRoundTime) {
    if (now - reported_at >= kDetailInterval) reported_at = now;
    return DetailedReport();
  }
  return BriefReport();
}

peers::State Node::BriefReport() const {
  peers::State state;
  documents_.FillState(state);
  state.leaving = stopping_;
  state.service = settings_.service;
  state.load = gate_.Load();
  state.announcement = gate_.announcement();
  return state;
}

peers::State Node::DetailedReport() {
  peers::State state = BriefReport();
  state.detailed = true;
  traffic_.FillReport(state);
  return state;
}

void Node::OnState(peers::Link& link, const peers::State& state) {
  dispatcher_.OnLoad(link.peer(), state.load);
  dispatcher_.OnAnnouncement(state.announcement);
  if (state.detailed) traffic_.OnReport(link.peer(), link.zone(), state);
  documents_.OnState(link, state);
}

void Node::PlanAdmission() {
  documents_.UpdateWatch();
  peers::State own = DetailedReport();
  dispatcher_.OnLoad(settings_.links, own.load);
  dispatcher_.OnAnnouncement(own.announcement);
  traffic_.OnReport(settings_.links, settings_.zone, own);
  traffic_.Plan(dispatcher_.directory(), dispatcher_.eject_options());
  LogPlan(own);
  plan_timer_.Start(kPlanInterval, [this] { PlanAdmission(); });
}

// Logs the routes that are partly refused, and the service that limits each.
void Node::LogPlan(const peers::State& own) {
  Millis now = timers_.Now();
  if (now - plan_logged_ < kPlanLogInterval) return;
  nlohmann::json routes;
  for (const peers::RouteDemand& row : own.demand) {
    double share = traffic_.plan().share(row.route);
    if (share >= 1) continue;
    routes[row.route] = {{"share", share},
                         {"bound_by", traffic_.plan().bound_by(row.route)},
                         {"demand_per_s", row.per_s}};
  }
  if (routes.empty()) return;
  plan_logged_ = now;
  nlohmann::json rooms;
  for (const auto& [service, room] : traffic_.plan().capacities()) {
    rooms[service] = {{"slots", room.slots},
                      {"wait_ms", room.wait_ms},
                      {"factor", traffic_.plan().factor(service)},
                      {"wanted", traffic_.plan().wanted(service)}};
  }
  log_.Write("admission", {{"routes", routes}, {"rooms", rooms}});
}

// ---- Readiness, settings, shutdown.

http::Response Node::ReadinessPage(const http::Request&) {
  http::Response response;
  response.status = ready() ? 200 : 503;
  response.reason = http::ReasonPhrase(response.status);
  return response;
}

http::Response Node::MetricsPage() {
  links::Load load = gate_.Load();
  metrics_.SetGauges(load.in_progress, load.limit, mesh_.up_links().size(),
                     config_version());
  http::Response response;
  response.status = 200;
  response.reason = http::ReasonPhrase(response.status);
  response.headers.Add("Content-Type", "text/plain; version=0.0.4");
  response.body = metrics_.Text();
  return response;
}

http::Response Node::OperatorPage(const http::Request& request) {
  if (request.path() != "/status" && request.path() != "/explain") {
    return MetricsPage();
  }
  http::Response response;
  response.status = 200;
  response.reason = http::ReasonPhrase(response.status);
  response.headers.Add("Content-Type", "application/json");
  if (request.path() == "/status") {
    response.body = ToText(Status());
  } else {
    response.body = ToText(Explain(http::QueryValue(request.target, "host"),
                                   http::QueryValue(request.target, "target")));
  }
  return response;
}

void Node::Reload() {
  try {
    Settings settings = environment_.settings.Read();
    settings_.service = settings.service;
    settings_.upstream = settings.upstream;
    settings_.retry_budget = settings.retry_budget;
    settings_.stop_grace = settings.stop_grace;
    dispatcher_.SetService(settings.service);
    UpdateHealthPath();
    dispatcher_.retry_budget().Configure(settings.retry_budget);
    pool_.SetAddress(settings.upstream);
    gate_.SetUpstream(documents_.view().AtAddress(settings.upstream));
    log_.Write("reloaded", {{"service", settings.service},
                            {"upstream", settings.upstream}});
  } catch (const base::Error& e) {
    log_.Write("settings_refused", {{"why", e.what()}});
  }
}

void Node::PollSettings() {
  if (environment_.settings.Changed()) Reload();
  settings_poll_.Start(kSettingsPollInterval, [this] { PollSettings(); });
}

void Node::Stop(std::function<void(bool)> done) {
  if (stopping_) return;
  stopping_ = true;
  stop_began_ = timers_.Now();
  stop_done_ = std::move(done);
  stop_length_ = settings_.stop_grace - kExitMargin;
  dispatcher_.BeginStop(stop_length_);
  log_.Write("stop_begins", {{"entries", dispatcher_.in_progress()},
                             {"runs", gate_.in_progress()}});
  gate_.Leave();
  mesh_.BroadcastState();
  callers_.CloseAfterAnswers();
  PollStop();
}

void Node::PollStop() {
  Millis elapsed = timers_.Now() - stop_began_;
  if (elapsed >= kMinShutdownTime) {
    callers_.StopAccepting();
    callers_.CloseIdle();
  }
  bool idle = gate_.idle() && dispatcher_.in_progress() == 0 &&
              callers_.connections() == 0;
  bool overdue = elapsed >= stop_length_;
  if ((elapsed >= kMinShutdownTime && idle) || overdue) {
    log_.Write("stopped", {{"whole", idle}, {"took_ms", elapsed.count()}});
    documents_.Stop();
    mesh_.Close();
    pages_.Close();
    if (metrics_pages_ != nullptr) metrics_pages_->Close();
    return stop_done_(idle);
  }
  stop_poll_.Start(kShutdownPollInterval, [this] { PollStop(); });
}

}  // namespace almondwind::sidecar
