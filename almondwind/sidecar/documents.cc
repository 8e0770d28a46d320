#include "almondwind/sidecar/documents.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "almondwind/fleet/changes_format.h"

namespace almondwind::sidecar {

using base::Millis;
using fleet::WatchMode;

namespace {

// Time without any event from which on this node was paused. UpdateWatch alone
// is called several times in it.
constexpr Millis kPauseThreshold{1000};

constexpr base::Names<2> kDocumentNames = {"config", "fleet"};

bool CanAsk(const peers::Link& link) { return link.up() && !link.silent(); }

}  // namespace

Documents::Documents(loop::Timers& timers, const DocumentsOptions& options,
                     const ConfigFormat& format, Feed& feed, EventLog& log,
                     DocumentsEvents& events)
    : timers_(timers),
      options_(options),
      format_(format),
      feed_(feed),
      log_(log),
      events_(events),
      view_(options.view),
      election_(options.election, options.address),
      outage_(options.outage),
      config_fetch_(options.catch_up, timers),
      fleet_fetch_(options.catch_up, timers),
      sweep_(timers) {}

void Documents::Start() { feed_.Start(*this); }

uint64_t Documents::config_version() const {
  return table_ == nullptr ? 0 : table_->version();
}

void Documents::UpdateWatch() {
  NotePause();
  WatchMode mode = election_.Mode(timers_.Now());
  if (mode != mode_) {
    log_.Write("store_watch",
               {{"mode", base::NameOf(fleet::kWatchModeNames, mode)},
                {"before", base::NameOf(fleet::kWatchModeNames, mode_)},
                {"revision", complete_revision_.number},
                {"epoch", complete_revision_.epoch},
                {"confirmed_ms_ago",
                 (timers_.Now() - election_.confirmed_at()).count()}});
    // A node that does not read the store does not know whether it could. Peers
    // may count on it until it has tried.
    if (mode == WatchMode::kNone) election_.SetCanRead(true);
  }
  mode_ = mode;
  feed_.Watch(mode, complete_revision_);
}

void Documents::NotePause() {
  Millis now = timers_.Now();
  Millis before = std::exchange(last_ran_, now);
  if (before == Millis(0) || now - before < kPauseThreshold) return;
  outage_.OnPaused(now);
  log_.Write("node_paused", {{"paused_ms", (now - before).count()},
                             {"revision", view_.revision().number},
                             {"config", config_version()}});
}

// ---- From the store.

void Documents::OnConfig(const std::string& document) {
  news_ = ApplyConfig(document, "store") || news_;
}

void Documents::OnUpstreams(const std::vector<fleet::Upstream>& upstreams,
                            const fleet::Revision& revision) {
  // Peers must learn of a new epoch now: what they have is of the last one.
  news_ = news_ || revision.epoch != view_.revision().epoch;
  if (view_.Replace(upstreams, revision, timers_.Now())) {
    OnViewChanged("store");
  }
}

void Documents::OnUpstream(const fleet::Upstream& upstream) {
  news_ = true;
  if (view_.Put(upstream)) OnViewChanged("store");
}

void Documents::OnUpstreamGone(const std::string& id,
                               const fleet::Revision& revision) {
  news_ = true;
  if (view_.Remove(id, revision, timers_.Now())) OnViewChanged("store");
}

void Documents::OnRevision(const fleet::Revision& revision) {
  NotePause();
  view_.Advance(revision);
  complete_revision_ = std::max(complete_revision_, revision);
  OnStoreAnswered(timers_.Now());
  election_.OnConfirmed(timers_.Now());
  if (std::exchange(news_, false)) events_.OnNews();
}

void Documents::OnEpoch(const fleet::Revision& revision) {
  log_.Write("store_epoch", {{"epoch", revision.epoch},
                             {"store_revision", revision.number},
                             {"before", view_.revision().epoch},
                             {"revision", view_.revision().number}});
  OnEpochSeen(revision.epoch, timers_.Now(), "store");
}

void Documents::OnListed(const fleet::Revision& revision, bool stale) {
  log_.Write("store_listed", {{"epoch", revision.epoch},
                              {"store_revision", revision.number},
                              {"stale", stale},
                              {"revision", view_.revision().number}});
}

// Upstreams whose entries the restored store has lost write them again soon, as
// after an outage.
void Documents::OnEpochSeen(uint64_t epoch, Millis at, const char* source) {
  if (epoch < epoch_) return;
  if (epoch == epoch_) {
    epoch_since_ = std::min(epoch_since_, at);
    return;
  }
  uint64_t before = std::exchange(epoch_, epoch);
  epoch_since_ = at;
  if (before == 0) return;
  view_.OnStoreReturned(at);
  log_.Write("store_restored", {{"epoch", epoch},
                                {"before", before},
                                {"source", source},
                                {"ms_ago", (timers_.Now() - at).count()}});
}

// Entries expire while the store is away, so those that it lacks on its return
// are kept for a while. A node's own trouble with the store is no reason to: it
// may answer the others, and then what it says of departures holds.
void Documents::OnStoreAnswered(Millis at) {
  Millis before = outage_.last_answer();
  bool unanswered = outage_.Unanswered(at);
  size_t failing_zones = outage_.FailingZones();
  bool returned = outage_.OnAnswered(at);
  if (!unanswered) return;
  if (returned) view_.OnStoreReturned(at);
  log_.Write(returned ? "store_outage" : "store_unanswered",
             {{"answered_none_ms", (at - before).count()},
              {"failing_zones", failing_zones},
              {"ended_ms_ago", (timers_.Now() - at).count()},
              {"next_removal_in_ms", view_.UntilSweep(timers_.Now()).count()}});
}

void Documents::OnAvailable(bool available, const std::string& why) {
  NotePause();
  election_.SetCanRead(available);
  if (!available) outage_.OnFailing(options_.zone, timers_.Now());
  log_.Write(available ? "store_back" : "store_lost",
             {{"why", why},
              {"revision", view_.revision().number},
              {"epoch", view_.revision().epoch}});
  events_.OnStoreAvailability();
}

void Documents::OnWatchUnanswered(const fleet::Revision& revision) {
  log_.Write("store_watch_unanswered", {{"store_revision", revision.number},
                                        {"revision", view_.revision().number},
                                        {"epoch", revision.epoch}});
}

void Documents::OnUnreadable(const std::string& key, const std::string& why) {
  log_.Write("unreadable", {{"key", key}, {"why", why}});
}

// ---- From any source.

bool Documents::ApplyConfig(const std::string& document,
                            const std::string& source) {
  routes::RouteTablePtr table;
  try {
    table = format_.Parse(document);
  } catch (const base::Error& e) {
    log_.Write("config_refused", {{"source", source}, {"why", e.what()}});
    return false;
  }
  uint64_t have = config_version();
  if (table->version() <= have) return false;
  table_ = table;
  config_document_ = document;
  log_.Write("config", {{"version", table->version()},
                        {"before", have},
                        {"source", source},
                        {"routes", table->routes().size()}});
  for (const auto& [name, route] : table->routes()) {
    if (!route.unknown_kind) continue;
    log_.Write("route_kind_unknown",
               {{"version", table->version()}, {"route", name}});
  }
  events_.OnTable(table);
  return true;
}

void Documents::OnViewChanged(const char* source) {
  std::set<std::string_view> zones;
  for (const auto& [id, upstream] : view_.upstreams()) {
    zones.insert(upstream.zone);
  }
  outage_.SetZones(zones.size());
  events_.OnFleet();
  LogUpstreamStates(source);
  ScheduleSweep();
  log_.Write("fleet", {{"revision", view_.revision().number},
                       {"epoch", view_.revision().epoch},
                       {"upstreams", view_.upstreams().size()}});
}

Documents::UpstreamState Documents::StateOf(
    const fleet::Upstream& upstream) const {
  if (view_.removal_pending(upstream.id)) return UpstreamState::kVanished;
  if (upstream.doubted) return UpstreamState::kDoubted;
  return upstream.draining ? UpstreamState::kDraining : UpstreamState::kReady;
}

// Logs the upstreams whose state has changed. The first list is not logged by
// upstream: a node that has just started has no earlier belief.
void Documents::LogUpstreamStates(const char* source) {
  std::map<std::string, UpstreamState> states;
  for (const auto& [id, upstream] : view_.upstreams()) {
    states[id] = StateOf(upstream);
  }
  if (!logged_states_.empty()) {
    Millis now = timers_.Now();
    for (const auto& [id, state] : states) {
      UpstreamState before = logged_states_[id];
      if (state == before) continue;
      const fleet::Upstream& upstream = view_.upstreams().at(id);
      log_.Write("upstream_state",
                 {{"upstream", id},
                  {"service", upstream.service},
                  {"state", base::NameOf(kUpstreamStateNames, state)},
                  {"before", base::NameOf(kUpstreamStateNames, before)},
                  {"revision", upstream.revision.number},
                  {"source", source},
                  {"next_removal_in_ms", view_.UntilSweep(now).count()}});
    }
    for (const auto& [id, before] : logged_states_) {
      if (states.count(id) != 0 || before == UpstreamState::kUnknown) continue;
      log_.Write("upstream_state",
                 {{"upstream", id},
                  {"state",
                   base::NameOf(kUpstreamStateNames, UpstreamState::kUnknown)},
                  {"before", base::NameOf(kUpstreamStateNames, before)},
                  {"revision", view_.revision().number},
                  {"source", source}});
    }
  }
  logged_states_ = std::move(states);
}

void Documents::ScheduleSweep() {
  Millis sweep = view_.UntilSweep(timers_.Now());
  if (sweep < Millis(0)) return;
  sweep_.Start(sweep + Millis(1), [this] { SweepView(); });
}

void Documents::SweepView() {
  if (view_.Sweep(timers_.Now())) return OnViewChanged("sweep");
  ScheduleSweep();  // the removals that were due have been delayed
}

// ---- Peers.

void Documents::FillState(peers::State& state) const {
  state.config_version = config_version();
  state.fleet_revision = view_.revision();
  state.confirmed_revision = complete_revision_;
  Millis age = timers_.Now() - election_.confirmed_at();
  state.confirmed_age_ms =
      static_cast<uint32_t>(std::clamp<int64_t>(age.count(), 0, UINT32_MAX));
  Millis epoch_age = timers_.Now() - epoch_since_;
  state.epoch_age_ms = static_cast<uint32_t>(
      std::clamp<int64_t>(epoch_age.count(), 0, UINT32_MAX));
  state.can_read_store = election_.can_read();
}

void Documents::OnState(peers::Link& link, const peers::State& state) {
  if (link.zone() == options_.zone) {
    election_.SetPeer(link.peer(), state.can_read_store && !state.leaving);
  }
  NotePause();
  if (!state.can_read_store) outage_.OnFailing(link.zone(), timers_.Now());
  if (state.confirmed_revision.known()) {
    OnStoreAnswered(timers_.Now() - Millis(state.confirmed_age_ms));
  }
  if (state.fleet_revision.known()) {
    OnEpochSeen(state.fleet_revision.epoch,
                timers_.Now() - Millis(state.epoch_age_ms), "peer");
  }
  using Kind = peers::DocumentKind;
  OnVersion(link, Kind::kConfig, {0, state.config_version});
  OnVersion(link, Kind::kFleet, state.fleet_revision);
  bool has_all = state.config_version <= config_version() &&
                 state.confirmed_revision <= view_.revision();
  if (!state.confirmed_revision.known() || !has_all) return;
  complete_revision_ = std::max(complete_revision_, state.confirmed_revision);
  election_.OnConfirmed(timers_.Now() - Millis(state.confirmed_age_ms));
}

void Documents::OnLinkDown(const peers::Link& link) {
  election_.RemovePeer(link.peer());
}

peers::DocumentVersion Documents::VersionOf(peers::DocumentKind kind) const {
  if (kind == peers::DocumentKind::kFleet) return view_.revision();
  return {0, config_version()};
}

Documents::Fetch& Documents::FetchOf(peers::DocumentKind kind) {
  return kind == peers::DocumentKind::kFleet ? fleet_fetch_ : config_fetch_;
}

// The own zone is asked at once. Other zones are asked only if the own zone
// does not deliver the document first; a node without any version asks whoever
// has one.
void Documents::OnVersion(peers::Link& link, peers::DocumentKind kind,
                          const peers::DocumentVersion& theirs) {
  Millis now = timers_.Now();
  Fetch& fetch = FetchOf(kind);
  peers::DocumentVersion ours = VersionOf(kind);
  bool at_once = !ours.known() || link.zone() == options_.zone;
  Millis delay = at_once ? Millis(0) : fleet::AskDelay(election_.turn());
  if (fetch.catch_up.OnReported(theirs, ours, delay, now)) {
    fetch.sources.clear();
    log_.Write("document_behind",
               {{"document", base::NameOf(kDocumentNames, kind)},
                {"newest", theirs.number},
                {"revision", ours.number},
                {"epoch", ours.epoch},
                {"peer", link.peer()},
                {"zone", link.zone()}});
  }
  if (theirs <= ours) return;
  peers::LinkPtr source(&link);
  if (std::find(fetch.sources.begin(), fetch.sources.end(), source) ==
      fetch.sources.end()) {
    // Of several, the own zone costs nothing.
    if (link.zone() == options_.zone) {
      fetch.sources.push_front(source);
    } else {
      fetch.sources.push_back(source);
    }
  }
  RequestIfDue(kind);
}

void Documents::RequestIfDue(peers::DocumentKind kind) {
  Millis now = timers_.Now();
  Fetch& fetch = FetchOf(kind);
  peers::DocumentVersion ours = VersionOf(kind);
  if (fetch.catch_up.ShouldAsk(ours, now)) {
    while (!fetch.sources.empty() && !CanAsk(*fetch.sources.front())) {
      fetch.sources.pop_front();
    }
    if (!fetch.sources.empty()) {
      // If it does not answer, another one is asked.
      peers::LinkPtr source = fetch.sources.front();
      fetch.sources.pop_front();
      fetch.sources.push_back(source);
      log_.Write("document_requested",
                 {{"document", base::NameOf(kDocumentNames, kind)},
                  {"behind_ms", (now - fetch.catch_up.since()).count()},
                  {"revision", ours.number},
                  {"peer", source->peer()},
                  {"zone", source->zone()}});
      source->Send(peers::DocumentRequest{static_cast<uint8_t>(kind), ours});
    }
  }
  if (!fetch.catch_up.behind()) {
    fetch.sources.clear();
    fetch.timer.Stop();
    return;
  }
  fetch.timer.Start(std::max(Millis(1), fetch.catch_up.due() - now),
                    [this, kind] { RequestIfDue(kind); });
}

void Documents::OnRequest(peers::Link& link,
                          const peers::DocumentRequest& request) {
  peers::Document document;
  document.kind = request.kind;
  if (request.kind == static_cast<uint8_t>(peers::DocumentKind::kConfig)) {
    document.version = VersionOf(peers::DocumentKind::kConfig);
    if (document.version <= request.known_version) return;
    document.text = config_document_;
  } else {
    if (view_.revision() <= request.known_version) return;
    document.version = view_.revision();
    document.text =
        fleet::EncodeChanges(view_.ChangesSince(request.known_version));
  }
  link.Send(document);
}

void Documents::OnDocument(const peers::Link& link,
                           const peers::Document& document) {
  bool applied = false;
  if (document.kind == static_cast<uint8_t>(peers::DocumentKind::kConfig)) {
    applied = ApplyConfig(document.text, "peer");
  } else {
    try {
      fleet::Changes changes = fleet::DecodeChanges(document.text);
      applied = view_.Apply(changes, timers_.Now());
      if (applied) OnViewChanged("peer");
    } catch (const base::Error& e) {
      log_.Write("unreadable", {{"key", "peer's changes"}, {"why", e.what()}});
    }
  }
  if (applied && link.zone() != options_.zone) events_.OnNews();
}

}  // namespace almondwind::sidecar
