#include "almondwind/standins/upstreams.h"

#include <sys/socket.h>

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdlib>
#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>

#include "almondwind/links/mesh.h"
#include "almondwind/loop/endpoint.h"
#include "almondwind/standins/http_server.h"

namespace almondwind::standins {

namespace http = boost::beast::http;
namespace net = boost::asio;
using boost::system::error_code;
using SteadyClock = std::chrono::steady_clock;
using std::chrono::microseconds;

namespace {

constexpr int kDirectAttempts = 3;
constexpr double kColdFactor = 4;  // slowdown when a cold start begins

class UpstreamGroup;

class Upstream {
 public:
  Upstream(UpstreamGroup& group, const GraphService& service,
           const GraphHost& host)
      : group_(group), service_(service), host_(host) {}

  bool Serve(ServedRequest& served, links::HttpResponse& response);
  void Set(const std::map<std::string, std::string>& parameters);
  const GraphHost& host() const { return host_; }
  const GraphService& service() const { return service_; }
  void Health(links::HttpResponse& response) const;

 private:
  const GraphRoute* Match(const std::string& path) const;
  bool AcquireSlot(ServedRequest& served);
  void ReleaseSlot();
  double SlowdownFactor() const;
  bool CallerClosed(ServedRequest& served) const;

  UpstreamGroup& group_;
  const GraphService& service_;
  const GraphHost host_;
  int in_slots_ = 0;
  std::deque<std::shared_ptr<net::steady_timer>> queue_;
  double slow_factor_ = 1;
  bool dead_ = false;
  bool draining_ = false;
  bool reports_healthy_ = false;  // even if dead or draining
  int closes_left_ = 0;           // requests to run and not answer
  int cold_ms_ = 0;
  SteadyClock::time_point cold_since_;
};

class UpstreamGroup {
 public:
  UpstreamGroup(net::io_context& io, const Graph& graph, bool direct)
      : io_(io),
        graph_(graph),
        direct_(direct),
        client_(io, links::HttpClientOptions{20'000, 16u << 20}) {}

  void Serve();
  net::io_context& io() { return io_; }
  std::mt19937_64& random() { return random_; }
  void CountOrderRun(const std::string& order, const std::string& key);
  void AddWork(const std::string& request_id, double ms);
  // Makes one inner call and returns its status, or 0 if it had no answer.
  // Clears `not_run` unless the response says that the call did not run.
  unsigned Call(const Upstream& from, const GraphCall& call,
                const ServedRequest& served, bool& not_run);

 private:
  bool Admin(ServedRequest& served, links::HttpResponse& response);
  std::optional<links::HttpResult> SendAndWait(const std::string& address,
                                               links::HttpRequest request,
                                               const ServedRequest& served);

  net::io_context& io_;
  const Graph graph_;
  const bool direct_;
  links::HttpClient client_;
  std::mt19937_64 random_{7};
  std::vector<std::unique_ptr<Upstream>> upstreams_;
  std::map<std::string, int> order_runs_;  // by the token in the order's body
  std::map<std::string, int> key_runs_;    // by Idempotency-Key
  std::map<std::string, double> work_ms_;  // by request id
};

std::string HeaderOf(const links::HttpRequest& request, const char* name) {
  auto it = request.find(name);
  return it == request.end() ? std::string() : std::string(it->value());
}

// Returns the request id without the suffix that a node adds for its run.
std::string StripRunPart(const std::string& id) {
  return id.substr(0, id.rfind('/'));
}

const GraphRoute* Upstream::Match(const std::string& path) const {
  for (const GraphRoute& route : service_.routes) {
    if (path.compare(0, route.prefix.size(), route.prefix) == 0) return &route;
  }
  return nullptr;
}

double Upstream::SlowdownFactor() const {
  double factor = slow_factor_ / host_.speed;
  if (cold_ms_ > 0) {
    auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
                   SteadyClock::now() - cold_since_)
                   .count();
    double left = 1 - static_cast<double>(age) / cold_ms_;
    if (left > 0) factor *= 1 + (kColdFactor - 1) * left;
  }
  return factor;
}

bool Upstream::CallerClosed(ServedRequest& served) const {
  char byte = 0;
  return ::recv(served.stream.socket().native_handle(), &byte, 1,
                MSG_PEEK | MSG_DONTWAIT) == 0;
}

// Waits for a slot. Returns false if the caller closed the connection
// meanwhile.
bool Upstream::AcquireSlot(ServedRequest& served) {
  if (in_slots_ < host_.slots) {
    ++in_slots_;
    return true;
  }
  auto waiter = std::make_shared<net::steady_timer>(group_.io());
  waiter->expires_at(SteadyClock::time_point::max());
  queue_.push_back(waiter);
  error_code ec;
  waiter->async_wait(served.yield[ec]);  // ReleaseSlot passes its slot on
  if (!CallerClosed(served)) return true;
  ReleaseSlot();
  return false;
}

void Upstream::ReleaseSlot() {
  if (queue_.empty()) {
    --in_slots_;
    return;
  }
  auto next = queue_.front();
  queue_.pop_front();
  next->cancel();
}

bool Upstream::Serve(ServedRequest& served, links::HttpResponse& response) {
  std::string path = PathOf(std::string(served.request.target()));
  if (path == "/health") {
    Health(response);
    return true;
  }
  if (dead_) return false;
  const GraphRoute* route = Match(path);
  if (route == nullptr) {
    response.result(http::status::not_found);
    return true;
  }
  if (queue_.size() >= static_cast<size_t>(service_.connections)) {
    response.result(http::status::service_unavailable);
    response.set("X-Outcome", "not_run");
    return true;
  }
  if (!AcquireSlot(served)) return false;
  // The caller's token is the first word of the body or the query parameter t.
  const std::string& in = served.request.body();
  std::string token = in.substr(0, in.find(' '));
  if (token.empty()) {
    token = ParseQuery(std::string(served.request.target()))["t"];
  }
  std::string key = HeaderOf(served.request, "Idempotency-Key");
  if (!key.empty()) group_.CountOrderRun(token, key);
  std::uniform_real_distribution<double> spread(0.8, 1.2);
  double ms = route->work_ms * SlowdownFactor() * spread(group_.random());
  net::steady_timer timer(group_.io());
  timer.expires_after(microseconds(static_cast<int64_t>(ms * 1000)));
  error_code ec;
  timer.async_wait(served.yield[ec]);
  std::string id = StripRunPart(HeaderOf(served.request, "X-Request-Id"));
  group_.AddWork(id, ms);
  if (closes_left_ > 0) {
    --closes_left_;
    ReleaseSlot();
    return false;
  }
  bool all_succeeded = true;
  bool not_run = true;
  for (const GraphCall& call : route->calls) {
    if (CallerClosed(served)) {
      ReleaseSlot();
      return false;
    }
    unsigned status = group_.Call(*this, call, served, not_run);
    if (status < 200 || status >= 300) {
      all_succeeded = false;
      break;
    }
  }
  ReleaseSlot();
  if (draining_) response.set("X-Upstream-State", "draining");
  if (!all_succeeded) {
    response.result(http::status::service_unavailable);
    // The upstream itself changed nothing, so the request counts as not run if
    // no inner call ran.
    if (not_run) response.set("X-Outcome", "not_run");
    return true;
  }
  // The body names the service and the token and has an end mark, so that the
  // caller detects a truncated or mixed-up response.
  std::string body = service_.name + " " + token + " ";
  body.resize(std::max(body.size(), static_cast<size_t>(route->bytes)), '.');
  body += "end";
  response.set(http::field::content_type, "text/plain");
  response.body() = std::move(body);
  return true;
}

void Upstream::Health(links::HttpResponse& response) const {
  bool healthy = reports_healthy_ || (!dead_ && !draining_);
  response.body() = draining_ && !reports_healthy_ ? "draining"
                    : healthy                      ? "ok"
                                                   : "dead";
}

void Upstream::Set(const std::map<std::string, std::string>& parameters) {
  for (const auto& [name, text] : parameters) {
    double value = std::atof(text.c_str());
    if (name == "slow") slow_factor_ = value;
    if (name == "dead") dead_ = value != 0;
    if (name == "drain") draining_ = value != 0;
    if (name == "lag") reports_healthy_ = value != 0;
    if (name == "close") closes_left_ = static_cast<int>(value);
    if (name == "cold_ms") {
      cold_ms_ = static_cast<int>(value);
      cold_since_ = SteadyClock::now();
    }
  }
}

void UpstreamGroup::CountOrderRun(const std::string& order,
                                  const std::string& key) {
  ++order_runs_[order];
  ++key_runs_[key];
}

void UpstreamGroup::AddWork(const std::string& request_id, double ms) {
  work_ms_[request_id] += ms;
}

std::optional<links::HttpResult> UpstreamGroup::SendAndWait(
    const std::string& address, links::HttpRequest request,
    const ServedRequest& served) {
  net::steady_timer done(io_);
  done.expires_at(SteadyClock::time_point::max());
  auto result = std::make_shared<std::optional<links::HttpResult>>();
  client_.Send(loop::ParseEndpoint(address), std::move(request),
               [result, &done](links::HttpResult end) {
                 *result = std::move(end);
                 done.cancel();
               });
  error_code ec;
  done.async_wait(served.yield[ec]);
  return std::move(*result);
}

unsigned UpstreamGroup::Call(const Upstream& from, const GraphCall& call,
                             const ServedRequest& served, bool& not_run) {
  const links::HttpRequest& in = served.request;
  std::string target = call.target;
  links::HttpRequest out{http::string_to_verb(call.method), target, 11};
  for (const char* name : {"X-Request-Id", "X-Request-Timeout-Ms"}) {
    std::string value = HeaderOf(in, name);
    if (!value.empty()) out.set(name, value);
  }
  out.body() = in.body();
  if (!direct_) {
    auto end = SendAndWait(graph_.CallersAddress(from.host().index),
                           std::move(out), served);
    if (!end || end->kind != base::EndKind::kAnswer) {
      not_run = false;
      return 0;
    }
    if (end->response["X-Outcome"] != "not_run") not_run = false;
    return end->response.result_int();
  }
  not_run = false;
  size_t name_at = target.find('/', 1) + 1;
  size_t path_at = target.find('/', name_at);
  std::string name = target.substr(name_at, path_at - name_at);
  std::vector<const Upstream*> hosts;
  for (const auto& upstream : upstreams_) {
    if (upstream->service().name == name) hosts.push_back(upstream.get());
  }
  out.target(target.substr(path_at));
  for (int i = 0; i < kDirectAttempts; ++i) {
    std::uniform_int_distribution<size_t> pick(0, hosts.size() - 1);
    auto end =
        SendAndWait(graph_.UpstreamAddress(hosts[pick(random_)]->host().index),
                    out, served);
    bool good = end && end->kind == base::EndKind::kAnswer &&
                end->response.result_int() == 200;
    if (good) return 200;
  }
  return 503;
}

bool UpstreamGroup::Admin(ServedRequest& served,
                          links::HttpResponse& response) {
  std::string target(served.request.target());
  std::string path = PathOf(target);
  auto parameters = ParseQuery(target);
  if (path == "/set") {
    for (const auto& upstream : upstreams_) {
      const std::string& service = parameters["service"];
      const std::string& host = parameters["host"];
      bool matches = (service.empty() || service == upstream->service().name) &&
                     (host.empty() || host == upstream->host().name);
      if (matches) upstream->Set(parameters);
    }
  } else if (path == "/orders") {
    response.body() =
        nlohmann::json({{"orders", order_runs_}, {"keys", key_runs_}}).dump();
  } else if (path == "/work") {
    response.body() = nlohmann::json(work_ms_).dump();
  }
  return true;
}

void UpstreamGroup::Serve() {
  for (const GraphService& service : graph_.services) {
    for (const GraphHost& host : service.hosts) {
      auto upstream = std::make_unique<Upstream>(*this, service, host);
      Upstream* raw = upstream.get();
      upstreams_.push_back(std::move(upstream));
      ServerLimits limits{service.connections};
      standins::Serve(io_, graph_.UpstreamAddress(host.index), limits,
                      [raw](ServedRequest& served, links::HttpResponse& r) {
                        return raw->Serve(served, r);
                      });
    }
  }
  standins::Serve(io_, graph_.AdminAddress(), {},
                  [this](ServedRequest& served, links::HttpResponse& r) {
                    return Admin(served, r);
                  });
}

}  // namespace

void ServeUpstreams(net::io_context& io, const Graph& graph, bool direct) {
  // Static because the io_context's handlers refer to it until the process
  // ends.
  static UpstreamGroup group(io, graph, direct);
  group.Serve();
}

}  // namespace almondwind::standins
