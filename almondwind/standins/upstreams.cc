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

constexpr int kDirectTries = 3;
constexpr double kColdFactor = 4;  // how much slower a cold upstream starts

class World;

class Upstream {
 public:
  Upstream(World& world, const GraphService& service, const GraphHost& host)
      : world_(world), service_(service), host_(host) {}

  bool Serve(ServedRequest& served, links::HttpResponse& response);
  void Set(const std::map<std::string, std::string>& parameters);
  const GraphHost& host() const { return host_; }
  const GraphService& service() const { return service_; }
  void Health(links::HttpResponse& response) const;

 private:
  const GraphRoute* Match(const std::string& path) const;
  bool TakeSlot(ServedRequest& served);
  void FreeSlot();
  double Speed() const;
  bool Gone(ServedRequest& served) const;

  World& world_;
  const GraphService& service_;
  const GraphHost host_;
  int in_slots_ = 0;
  std::deque<std::shared_ptr<net::steady_timer>> queue_;
  double slow_ = 1;
  bool dead_ = false;
  bool draining_ = false;
  bool says_healthy_ = false;  // whatever is true
  int close_next_ = 0;         // run, then close without an answer
  int cold_ms_ = 0;
  SteadyClock::time_point cold_from_;
};

class World {
 public:
  World(net::io_context& io, const Graph& graph, bool direct)
      : io_(io),
        graph_(graph),
        direct_(direct),
        client_(io, links::HttpClientOptions{20'000, 16u << 20}) {}

  void Serve();
  net::io_context& io() { return io_; }
  std::mt19937_64& random() { return random_; }
  void CountOrder(const std::string& order, const std::string& key);
  void CountWork(const std::string& request_id, double ms);
  // Calls down the chain. Returns the status; sets `not_run` if it was proved.
  unsigned Call(const Upstream& from, const GraphCall& call,
                const ServedRequest& served, bool& not_run);

 private:
  bool Admin(ServedRequest& served, links::HttpResponse& response);
  std::optional<links::HttpResult> Exchange(const std::string& address,
                                            links::HttpRequest request,
                                            const ServedRequest& served);

  net::io_context& io_;
  const Graph graph_;
  const bool direct_;
  links::HttpClient client_;
  std::mt19937_64 random_{7};
  std::vector<std::unique_ptr<Upstream>> upstreams_;
  std::map<std::string, int> order_runs_;  // by order id
  std::map<std::string, int> key_runs_;    // by Idempotency-Key
  std::map<std::string, double> work_ms_;  // by request id
};

std::string HeaderOf(const links::HttpRequest& request, const char* name) {
  auto it = request.find(name);
  return it == request.end() ? std::string() : std::string(it->value());
}

// The request id without the part that names the run at a node.
std::string BareId(const std::string& id) {
  return id.substr(0, id.rfind('/'));
}

const GraphRoute* Upstream::Match(const std::string& path) const {
  for (const GraphRoute& route : service_.routes) {
    if (path.compare(0, route.prefix.size(), route.prefix) == 0) return &route;
  }
  return nullptr;
}

double Upstream::Speed() const {
  double factor = slow_ / host_.speed;
  if (cold_ms_ > 0) {
    auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
                   SteadyClock::now() - cold_from_)
                   .count();
    double left = 1 - static_cast<double>(age) / cold_ms_;
    if (left > 0) factor *= 1 + (kColdFactor - 1) * left;
  }
  return factor;
}

bool Upstream::Gone(ServedRequest& served) const {
  char byte = 0;
  return ::recv(served.stream.socket().native_handle(), &byte, 1,
                MSG_PEEK | MSG_DONTWAIT) == 0;
}

// Waits for a slot; returns false if the caller went away meanwhile.
bool Upstream::TakeSlot(ServedRequest& served) {
  if (in_slots_ < host_.slots) {
    ++in_slots_;
    return true;
  }
  auto turn = std::make_shared<net::steady_timer>(world_.io());
  turn->expires_at(SteadyClock::time_point::max());
  queue_.push_back(turn);
  error_code ec;
  turn->async_wait(served.yield[ec]);  // FreeSlot hands over its slot
  if (!Gone(served)) return true;
  FreeSlot();
  return false;
}

void Upstream::FreeSlot() {
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
  if (!TakeSlot(served)) return false;
  // The first word of a body, or the query, is the caller's token.
  const std::string& in = served.request.body();
  std::string token = in.substr(0, in.find(' '));
  if (token.empty())
    token = Parameters(std::string(served.request.target()))["t"];
  std::string key = HeaderOf(served.request, "Idempotency-Key");
  if (!key.empty()) world_.CountOrder(token, key);
  std::uniform_real_distribution<double> spread(0.8, 1.2);
  double ms = route->work_ms * Speed() * spread(world_.random());
  net::steady_timer timer(world_.io());
  timer.expires_after(microseconds(static_cast<int64_t>(ms * 1000)));
  error_code ec;
  timer.async_wait(served.yield[ec]);
  std::string id = BareId(HeaderOf(served.request, "X-Request-Id"));
  world_.CountWork(id, ms);
  if (close_next_ > 0) {
    --close_next_;
    FreeSlot();
    return false;
  }
  bool all_good = true;
  bool not_run = true;
  for (const GraphCall& call : route->calls) {
    if (Gone(served)) {
      FreeSlot();
      return false;
    }
    unsigned status = world_.Call(*this, call, served, not_run);
    if (status < 200 || status >= 300) {
      all_good = false;
      break;
    }
  }
  FreeSlot();
  if (draining_) response.set("X-Upstream-State", "draining");
  if (!all_good) {
    response.result(http::status::service_unavailable);
    // It looked things up but changed nothing, and no leg ran.
    if (not_run) response.set("X-Outcome", "not_run");
    return true;
  }
  // The answer names what it is for, so that a wrong or cut one shows.
  std::string body = service_.name + " " + token + " ";
  body.resize(std::max(body.size(), static_cast<size_t>(route->bytes)), '.');
  body += "end";
  response.set(http::field::content_type, "text/plain");
  response.body() = std::move(body);
  return true;
}

void Upstream::Health(links::HttpResponse& response) const {
  bool healthy = says_healthy_ || (!dead_ && !draining_);
  response.body() = draining_ && !says_healthy_ ? "draining"
                    : healthy                   ? "ok"
                                                : "dead";
}

void Upstream::Set(const std::map<std::string, std::string>& parameters) {
  for (const auto& [name, text] : parameters) {
    double value = std::atof(text.c_str());
    if (name == "slow") slow_ = value;
    if (name == "dead") dead_ = value != 0;
    if (name == "drain") draining_ = value != 0;
    if (name == "lag") says_healthy_ = value != 0;
    if (name == "close") close_next_ = static_cast<int>(value);
    if (name == "cold_ms") {
      cold_ms_ = static_cast<int>(value);
      cold_from_ = SteadyClock::now();
    }
  }
}

void World::CountOrder(const std::string& order, const std::string& key) {
  ++order_runs_[order];
  ++key_runs_[key];
}

void World::CountWork(const std::string& request_id, double ms) {
  work_ms_[request_id] += ms;
}

std::optional<links::HttpResult> World::Exchange(const std::string& address,
                                                 links::HttpRequest request,
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

unsigned World::Call(const Upstream& from, const GraphCall& call,
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
    auto end =
        Exchange(graph_.Callers(from.host().index), std::move(out), served);
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
  for (int i = 0; i < kDirectTries; ++i) {
    std::uniform_int_distribution<size_t> any(0, hosts.size() - 1);
    auto end = Exchange(graph_.Upstream(hosts[any(random_)]->host().index), out,
                        served);
    bool good = end && end->kind == base::EndKind::kAnswer &&
                end->response.result_int() == 200;
    if (good) return 200;
  }
  return 503;
}

bool World::Admin(ServedRequest& served, links::HttpResponse& response) {
  std::string target(served.request.target());
  std::string path = PathOf(target);
  auto parameters = Parameters(target);
  if (path == "/set") {
    for (const auto& upstream : upstreams_) {
      const std::string& service = parameters["service"];
      const std::string& host = parameters["host"];
      bool fits = (service.empty() || service == upstream->service().name) &&
                  (host.empty() || host == upstream->host().name);
      if (fits) upstream->Set(parameters);
    }
  } else if (path == "/orders") {
    response.body() =
        nlohmann::json({{"orders", order_runs_}, {"keys", key_runs_}}).dump();
  } else if (path == "/work") {
    response.body() = nlohmann::json(work_ms_).dump();
  }
  return true;
}

void World::Serve() {
  for (const GraphService& service : graph_.services) {
    for (const GraphHost& host : service.hosts) {
      auto upstream = std::make_unique<Upstream>(*this, service, host);
      Upstream* raw = upstream.get();
      upstreams_.push_back(std::move(upstream));
      // As many again may wait for a connection to be accepted.
      ServerBounds bounds{service.connections};
      standins::Serve(io_, graph_.Upstream(host.index), bounds,
                      [raw](ServedRequest& served, links::HttpResponse& r) {
                        return raw->Serve(served, r);
                      });
    }
  }
  standins::Serve(io_, graph_.Admin(), {},
                  [this](ServedRequest& served, links::HttpResponse& r) {
                    return Admin(served, r);
                  });
}

}  // namespace

void ServeUpstreams(net::io_context& io, const Graph& graph, bool direct) {
  // Lives as long as the io_context's handlers: until the process ends.
  static World world(io, graph, direct);
  world.Serve();
}

}  // namespace almondwind::standins
