#include "almondwind/routes/table.h"

#include <algorithm>
#include <cctype>
#include <cmath>
#include <utility>

namespace almondwind::routes {

using base::Error;
using base::Reason;

namespace {

// Returns `host` in lower case, without a port.
std::string NormalizeHost(std::string_view host) {
  std::string out(host.substr(0, host.find(':')));
  std::transform(out.begin(), out.end(), out.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return out;
}

[[noreturn]] void ThrowInvalid(const Route& route, const std::string& why) {
  throw Error(Reason::kMalformed, "route '" + route.name + "': " + why);
}

void Validate(const Route& route,
              const std::map<std::string, Service>& services) {
  const std::string& prefix = route.prefix;
  if (route.host.empty()) ThrowInvalid(route, "host is missing");
  if (prefix.empty() || prefix.front() != '/' || prefix.back() != '/') {
    ThrowInvalid(route, "prefix must start and end with a slash");
  }
  if (route.timeout <= base::Millis(0)) {
    ThrowInvalid(route, "timeout is missing");
  }
  if (route.max_attempts < 1) {
    ThrowInvalid(route, "attempts must be at least 1");
  }
  if (route.destinations.empty()) {
    ThrowInvalid(route, "no service to send requests to");
  }
  double total = 0;
  for (const Destination& destination : route.destinations) {
    if (services.count(destination.service) == 0) {
      ThrowInvalid(route, "unknown service '" + destination.service + "'");
    }
    if (!std::isfinite(destination.weight) || destination.weight < 0) {
      ThrowInvalid(route, "weights must be finite and 0 or more");
    }
    total += destination.weight;
  }
  if (total <= 0) ThrowInvalid(route, "at least one weight must be above 0");
}

}  // namespace

base::RequestClass ClassOf(int priority) {
  int last = static_cast<int>(base::kClassCount) - 1;
  return static_cast<base::RequestClass>(std::clamp(priority, 0, last));
}

RouteTablePtr RouteTable::Build(uint64_t version, std::vector<Route> routes,
                                std::vector<Service> services,
                                const Limits& limits) {
  boost::intrusive_ptr<RouteTable> table(new RouteTable);
  table->version_ = version;
  table->limits_ = limits;
  for (Service& service : services) {
    std::string name = service.name;
    table->services_[name] = std::move(service);
  }
  for (Route& route : routes) {
    Validate(route, table->services_);
    std::string name = route.name;
    const Route& stored = table->routes_[name] = std::move(route);
    table->by_host_[NormalizeHost(stored.host)].push_back(&stored);
  }
  for (auto& [host, list] : table->by_host_) {
    std::stable_sort(list.begin(), list.end(),
                     [](const Route* a, const Route* b) {
                       return a->prefix.size() > b->prefix.size();
                     });
  }
  return table;
}

const Route* RouteTable::Match(std::string_view host,
                               std::string_view path) const {
  auto it = by_host_.find(NormalizeHost(host));
  if (it == by_host_.end()) return nullptr;
  for (const Route* route : it->second) {
    if (path.substr(0, route->prefix.size()) == route->prefix) return route;
  }
  return nullptr;
}

const Route* RouteTable::Find(const std::string& name) const {
  auto it = routes_.find(name);
  return it == routes_.end() ? nullptr : &it->second;
}

}  // namespace almondwind::routes
