// One version of the operators' configuration: routes, services and limits.
//
// A RouteTable is immutable and shared by count: a request keeps the one it
// began with, and a newer version replaces the whole table at once.
//
//   RouteTablePtr table = RouteTable::Build(version, routes, services, limits);
//   const Route* route = table->Match("shop.example", "/quotes/17");
//
// Cost: Match is one hash look-up and a scan of the host's prefixes, longest
// first.
#ifndef ALMONDWIND_ROUTES_TABLE_H_
#define ALMONDWIND_ROUTES_TABLE_H_

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "almondwind/base/clock.h"
#include "almondwind/base/outcome.h"

namespace almondwind::routes {

// A service that a route sends to, with its share of the requests.
struct Destination {
  std::string service;
  double weight = 1;
};

struct Route {
  std::string name;
  std::string host;
  std::string prefix;  // begins and ends with a slash
  bool idempotent = false;
  int max_attempts = 1;  // servers that one request may be sent to
  base::Millis timeout{0};
  base::Millis target_latency{0};  // answers within it have their full worth
  int priority = 0;                // 0 is the most important
  std::vector<Destination> destinations;  // at least one
};

struct Service {
  std::string name;
  std::string health_path;
  int max_connections = 0;
};

// What callers may send, and how long they may take.
struct Limits {
  uint32_t header_bytes = 16u << 10;
  uint64_t body_bytes = 64u << 20;
  base::Millis header_timeout{3000};
  base::Millis idle_timeout{15'000};
};

// Class of requests with an operator's priority.
base::RequestClass ClassOf(int priority);

class RouteTable : public boost::intrusive_ref_counter<RouteTable> {
 public:
  // Throws base::Error(kMalformed) where the parts do not fit together.
  static boost::intrusive_ptr<const RouteTable> Build(
      uint64_t version, std::vector<Route> routes,
      std::vector<Service> services, const Limits& limits);

  // Returns the route of `host` (a port is ignored) with the longest prefix
  // that begins `path`, or null.
  const Route* Match(std::string_view host, std::string_view path) const;
  // Returns the route called `name`, or null.
  const Route* Find(const std::string& name) const;

  uint64_t version() const { return version_; }
  const std::map<std::string, Route>& routes() const { return routes_; }
  const std::map<std::string, Service>& services() const { return services_; }
  const Limits& limits() const { return limits_; }

 private:
  RouteTable() = default;

  uint64_t version_ = 0;
  std::map<std::string, Route> routes_;
  std::map<std::string, Service> services_;
  Limits limits_;
  // Longest prefix first.
  std::unordered_map<std::string, std::vector<const Route*>> by_host_;
};
using RouteTablePtr = boost::intrusive_ptr<const RouteTable>;

}  // namespace almondwind::routes

#endif  // ALMONDWIND_ROUTES_TABLE_H_
