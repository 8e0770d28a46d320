#include "almondwind/load/load.h"

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <vector>

#include "almondwind/links/http_client.h"
#include "almondwind/links/mesh.h"
#include "almondwind/load/mix.h"
#include "almondwind/load/report.h"
#include "almondwind/loop/endpoint.h"
#include "almondwind/node/settings.h"

namespace almondwind::load {

namespace http = boost::beast::http;
namespace net = boost::asio;
using base::EndKind;
using base::Outcome;
using boost::system::error_code;
using links::HttpClient;
using links::HttpResult;
using SteadyClock = std::chrono::steady_clock;

namespace {

constexpr std::chrono::milliseconds kArrivalInterval{2};
constexpr std::chrono::seconds kDrainTimeout{4};  // after the last arrival
constexpr int kTimeoutSlackMs = 300;
constexpr int kMaxConnections = 12'000;

// Addresses that requests are sent to. Nodes of any service are entry nodes;
// upstreams are called only with --direct.
struct Endpoints {
  std::vector<HttpClient::Endpoint> entry_nodes;
  std::map<std::string, std::vector<HttpClient::Endpoint>> upstreams_by_service;
};

Endpoints ReadEndpoints(const std::string& folder) {
  Endpoints endpoints;
  for (const auto& file : std::filesystem::directory_iterator(folder)) {
    if (file.path().extension() != ".toml") continue;
    node::Settings s = node::ReadSettingsFile(file.path().string());
    endpoints.entry_nodes.push_back(loop::ParseEndpoint(s.callers));
    endpoints.upstreams_by_service[s.service].push_back(
        loop::ParseEndpoint(s.upstream));
  }
  return endpoints;
}

Strain StrainFromMix(const Mix& mix) {
  Strain strain;
  strain.from_s = mix.strain_from_s;
  strain.to_s = mix.strain_to_s;
  strain.capacity_ms =
      1000.0 * mix.bottleneck_slots * (mix.strain_to_s - mix.strain_from_s);
  strain.factor = mix.bottleneck_factor;
  return strain;
}

class LoadRunner;

// One user request with all retries of its caller.
class UserRequest : public std::enable_shared_from_this<UserRequest> {
 public:
  UserRequest(LoadRunner& runner, const RequestKind& kind, uint64_t number)
      : runner_(runner),
        kind_(kind),
        token_("u" + std::to_string(number)),
        timer_(IoOf(runner)) {}

  void Start();

 private:
  static net::io_context& IoOf(LoadRunner& runner);
  void SendAttempt();
  links::HttpRequest MakeRequest();
  void OnAttemptEnd(int attempt, HttpResult end);
  void OnResponse(const links::HttpResponse& response);
  void CheckBody(const links::HttpResponse& response);
  void Retry(Outcome outcome, bool immediately);
  void Finish(Outcome outcome);
  std::string ServiceName() const;

  LoadRunner& runner_;
  const RequestKind& kind_;
  const std::string token_;
  std::string contract_;
  double started_s_ = 0;
  double sent_s_ = 0;
  int attempt_ = 0;
  int repeats_ = 0;
  bool maybe_ran_ = false;
  bool done_ = false;
  net::steady_timer timer_;
  std::shared_ptr<links::HttpExchange> exchange_;
};

class LoadRunner {
 public:
  LoadRunner(const LoadOptions& options, Mix mix)
      : options_(options),
        mix_(std::move(mix)),
        client_(io_, links::HttpClientOptions{kMaxConnections, 32u << 20}),
        report_(mix_.seconds, StrainFromMix(mix_)),
        random_(options.seed),
        arrivals_(io_) {}

  Report& Run();

  net::io_context& io() { return io_; }
  const Mix& mix() const { return mix_; }
  const LoadOptions& options() const { return options_; }
  HttpClient& client() { return client_; }
  Report& report() { return report_; }
  double Now() const {
    return std::chrono::duration<double>(SteadyClock::now() - started_).count();
  }
  HttpClient::Endpoint PickEndpoint(const RequestKind& kind);
  void RecordFailedAttempt(const std::string& id) {
    failed_attempts_.insert(id);
  }
  void RecordReportedNotRun(const std::string& token) {
    reported_not_run_.insert(token);
  }
  void OnRequestEnd() { --in_flight_; }

 private:
  void Arrive();
  const RequestKind& PickKind();
  void InjectFaults();
  void RequestAdmin(const std::string& target,
                    std::function<void(const std::string&)> use);
  void CollectResults();

  const LoadOptions options_;
  const Mix mix_;
  net::io_context io_{1};
  HttpClient client_;
  Report report_;
  std::mt19937_64 random_;
  net::steady_timer arrivals_;
  Endpoints endpoints_;
  SteadyClock::time_point started_;
  double arrivals_until_s_ = 0;  // arrivals were generated up to here
  double next_progress_s_ = 1;
  uint64_t next_request_ = 1;
  int64_t in_flight_ = 0;
  size_t next_fault_ = 0;
  std::set<std::string> failed_attempts_;   // request ids of attempts
  std::set<std::string> reported_not_run_;  // tokens of orders
};

std::string ServiceOf(const std::string& target) {
  size_t name_end = target.find('/', target.find('/', 1) + 1);
  return target.substr(1, name_end - 1);
}

net::io_context& UserRequest::IoOf(LoadRunner& runner) { return runner.io(); }

std::string UserRequest::ServiceName() const {
  std::string service = ServiceOf(kind_.target);
  return service.substr(service.find('/') + 1);
}

void UserRequest::Start() {
  started_s_ = runner_.Now();
  runner_.report().RecordOffered(started_s_);
  SendAttempt();
}

links::HttpRequest UserRequest::MakeRequest() {
  std::string target = kind_.target;
  if (runner_.options().direct) {
    target = target.substr(ServiceOf(target).size() + 1);
  }
  if (kind_.method == "GET") target += "?t=" + token_;
  links::HttpRequest request{http::string_to_verb(kind_.method), target, 11};
  request.set(http::field::host, "almondwind");
  request.set("X-Request-Id", token_ + "." + std::to_string(attempt_));
  request.set("X-Request-Timeout-Ms", std::to_string(kind_.timeout_ms));
  if (!contract_.empty()) request.set("Idempotency-Key", contract_);
  if (kind_.order && runner_.options().direct) {
    request.set("Idempotency-Key", token_);
  }
  if (kind_.method == "POST") request.body() = token_ + " order";
  return request;
}

void UserRequest::SendAttempt() {
  int attempt = ++attempt_;
  sent_s_ = runner_.Now();
  auto self = shared_from_this();
  exchange_ =
      runner_.client().Send(runner_.PickEndpoint(kind_), MakeRequest(),
                            [self, attempt](HttpResult end) {
                              self->OnAttemptEnd(attempt, std::move(end));
                            });
  timer_.expires_after(
      std::chrono::milliseconds(kind_.timeout_ms + kTimeoutSlackMs));
  timer_.async_wait([self, attempt](error_code ec) {
    if (ec || self->attempt_ != attempt) return;
    self->exchange_->Cancel();
    self->OnAttemptEnd(attempt, HttpResult());
  });
}

void UserRequest::OnAttemptEnd(int attempt, HttpResult end) {
  if (attempt != attempt_ || done_) return;
  timer_.cancel();
  bool answered = end.kind == EndKind::kAnswer;
  if (!answered || end.response.result_int() != 200) {
    runner_.RecordFailedAttempt(token_ + "." + std::to_string(attempt));
  }
  bool unknown = answered && end.response["X-Outcome"] == "unknown";
  if (end.kind == EndKind::kClosed || unknown) {
    runner_.report().RecordLostAttempt();
  }
  if (answered) return OnResponse(end.response);
  if (end.kind == EndKind::kUnreachable) {
    return Retry(maybe_ran_ ? Outcome::kUnknown : Outcome::kNotRun, true);
  }
  maybe_ran_ = true;
  Retry(Outcome::kUnknown, false);
}

void UserRequest::OnResponse(const links::HttpResponse& response) {
  if (response.result_int() == 200) {
    CheckBody(response);
    return Finish(Outcome::kAnswered);
  }
  std::string outcome(response["X-Outcome"]);
  std::string reason(response["X-Reason"]);
  bool not_run = outcome == "not_run";
  if (not_run) {
    runner_.report().RecordRefusal((runner_.Now() - sent_s_) * 1000);
  }
  if (reason == "contract_required") {
    contract_ = std::string(response["X-Contract"]);
    return SendAttempt();
  }
  if (not_run && kind_.order) {
    // The gate's response covers all earlier attempts with this contract.
    contract_.clear();
    maybe_ran_ = false;
    return Retry(Outcome::kNotRun, false);
  }
  if (reason == "contract_unknown") return Finish(Outcome::kUnknown);
  if (!not_run) maybe_ran_ = true;
  Retry(maybe_ran_ ? Outcome::kUnknown : Outcome::kNotRun, false);
}

void UserRequest::CheckBody(const links::HttpResponse& response) {
  const std::string& body = response.body();
  std::string start = ServiceName() + " " + token_ + " ";
  bool whole = body.compare(0, start.size(), start) == 0 && body.size() > 3 &&
               body.compare(body.size() - 3, 3, "end") == 0;
  if (!whole) runner_.report().RecordBrokenAnswer();
}

void UserRequest::Retry(Outcome outcome, bool immediately) {
  // Retries orders without an answer too, as callers do. With a contract this
  // is safe; sent straight to an upstream, it can run an order twice.
  if (repeats_ >= runner_.mix().client_retries) return Finish(outcome);
  ++repeats_;
  if (immediately) return SendAttempt();
  auto self = shared_from_this();
  timer_.expires_after(
      std::chrono::milliseconds(runner_.mix().client_pause_ms));
  timer_.async_wait([self](error_code ec) {
    if (!ec) self->SendAttempt();
  });
}

void UserRequest::Finish(Outcome outcome) {
  done_ = true;
  RequestResult result;
  result.started_s = started_s_;
  result.ended_s = runner_.Now();
  result.cls = kind_.cls;
  result.outcome = outcome;
  result.repeats = repeats_;
  result.bottleneck_ms = kind_.bottleneck_ms;
  runner_.report().RecordEnd(result);
  if (outcome == Outcome::kNotRun && kind_.order) {
    runner_.RecordReportedNotRun(token_);
  }
  runner_.OnRequestEnd();
}

HttpClient::Endpoint LoadRunner::PickEndpoint(const RequestKind& kind) {
  const std::vector<HttpClient::Endpoint>* from = &endpoints_.entry_nodes;
  if (options_.direct)
    from = &endpoints_.upstreams_by_service.at(ServiceOf(kind.target));
  std::uniform_int_distribution<size_t> pick(0, from->size() - 1);
  return (*from)[pick(random_)];
}

const RequestKind& LoadRunner::PickKind() {
  double total = 0;
  for (const RequestKind& kind : mix_.kinds) total += kind.weight;
  double at = std::uniform_real_distribution<double>(0, total)(random_);
  for (const RequestKind& kind : mix_.kinds) {
    if (at < kind.weight) return kind;
    at -= kind.weight;
  }
  return mix_.kinds.back();
}

void LoadRunner::Arrive() {
  double now = Now();
  if (now >= mix_.seconds) return;
  InjectFaults();
  double span = now - arrivals_until_s_;
  arrivals_until_s_ = now;
  std::poisson_distribution<int> count(mix_.RateAt(now) * span);
  for (int i = count(random_); i > 0; --i) {
    ++in_flight_;
    std::make_shared<UserRequest>(*this, PickKind(), next_request_++)->Start();
  }
  if (now >= next_progress_s_) {
    std::cerr << report_.Progress(now) << "\n";
    next_progress_s_ += 1;
  }
  arrivals_.expires_after(kArrivalInterval);
  arrivals_.async_wait([this](error_code ec) {
    if (!ec) Arrive();
  });
}

void LoadRunner::InjectFaults() {
  while (next_fault_ < mix_.faults.size() &&
         mix_.faults[next_fault_].at_s <= Now()) {
    const Fault& fault = mix_.faults[next_fault_++];
    std::cerr << "       fault " << fault.target << "\n";
    RequestAdmin(fault.target, [](const std::string&) {});
  }
}

void LoadRunner::RequestAdmin(const std::string& target,
                              std::function<void(const std::string&)> use) {
  if (options_.admin.empty()) return;
  links::HttpRequest request{http::verb::get, target, 11};
  client_.Send(
      loop::ParseEndpoint(options_.admin), std::move(request),
      [use = std::move(use)](HttpResult end) { use(end.response.body()); });
}

void LoadRunner::CollectResults() {
  RequestAdmin("/orders", [this](const std::string& text) {
    auto orders = nlohmann::json::parse(text).at("orders");
    for (const auto& [token, runs] : orders.items()) {
      if (runs.get<int>() > 1) ++report_.doubled;
      if (reported_not_run_.count(token) != 0) ++report_.untrue_not_run;
    }
  });
  RequestAdmin("/work", [this](const std::string& text) {
    auto work = nlohmann::json::parse(text);
    for (const auto& [id, ms] : work.items()) {
      report_.work_ms += ms.get<double>();
      if (failed_attempts_.count(id) != 0) {
        report_.wasted_ms += ms.get<double>();
      }
    }
  });
}

Report& LoadRunner::Run() {
  endpoints_ = ReadEndpoints(options_.nodes);
  if (endpoints_.entry_nodes.empty()) {
    throw std::runtime_error(options_.nodes +
                             ": no settings files; remedy: set --nodes to the "
                             "folder of the nodes' settings");
  }
  started_ = SteadyClock::now();
  Arrive();
  auto last = started_ + std::chrono::duration_cast<SteadyClock::duration>(
                             std::chrono::duration<double>(mix_.seconds));
  io_.run_until(last);
  while (in_flight_ > 0 && SteadyClock::now() < last + kDrainTimeout) {
    io_.run_for(std::chrono::milliseconds(10));
  }
  CollectResults();
  io_.restart();
  io_.run_for(std::chrono::milliseconds(500));
  return report_;
}

}  // namespace

void AddOptions(CLI::App& app, LoadOptions& options) {
  app.add_option("--mix", options.mix, "mix file (TOML)")->required();
  app.add_option("--nodes", options.nodes, "folder of the nodes' settings")
      ->required();
  app.add_option("--admin", options.admin,
                 "IP:PORT of the stand-ins' admin endpoint");
  app.add_option("--label", options.label, "label of the last output line");
  app.add_option("--json", options.json, "output file for the full report");
  app.add_option("--series", options.series,
                 "output file for goodput over time");
  app.add_option("--seconds", options.seconds, "duration; overrides the mix");
  app.add_option("--rate", options.rate, "requests/s; overrides the mix");
  app.add_option("--seed", options.seed,
                 "seed for arrivals and random choices");
  app.add_flag("--direct", options.direct,
               "send straight to the upstreams, without nodes");
}

int RunLoad(const LoadOptions& options) {
  Mix mix = ReadMix(options.mix);
  if (options.seconds > 0) mix.seconds = options.seconds;
  if (options.rate > 0) mix.rate = options.rate;
  LoadRunner runner(options, mix);
  Report& report = runner.Run();
  if (!options.json.empty()) {
    std::ofstream(options.json) << report.Json().dump(1) << "\n";
  }
  if (!options.series.empty()) {
    std::ofstream(options.series) << report.Series();
  }
  std::cout << report.Summary(options.label) << std::flush;
  return report.passed() ? 0 : 1;
}

}  // namespace almondwind::load
