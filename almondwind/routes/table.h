// One version of the operators' configuration: routes, services and limits.
//
// A RouteTable is immutable and reference-counted. A request uses the table
// that it started with; a newer version replaces the whole table at once.
//
//   RouteTablePtr table = RouteTable::Build(version, routes, services, limits);
//   const Route* route = table->Match("shop.example", "/quotes/17");
//
// Cost: Match takes one hash lookup and scans the prefixes of the host,
// longest first.
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

// A service that a route sends requests to, with its weight in the split.
struct Destination {
  std::string service;
  double weight = 1;
};

struct Route {
  std::string name;
  std::string host;
  std::string prefix;  // starts and ends with a slash
  bool idempotent = false;
  // The operators gave the route a kind that this version does not know. Its
  // requests run at most once.
  bool unknown_kind = false;
  int max_attempts = 1;  // upstreams that one request may be sent to
  base::Millis timeout{0};
  base::Millis target_latency{0};         // answers within it have full value
  int priority = 0;                       // 0 is the most important
  std::vector<Destination> destinations;  // at least one
};

struct Service {
  std::string name;
  std::string health_path;
  int max_connections = 0;
};

// Limits on the size of callers' requests and on the time to receive them.
struct Limits {
  uint32_t header_bytes = 16u << 10;
  uint64_t body_bytes = 64u << 20;
  base::Millis header_timeout{3000};
  base::Millis idle_timeout{15'000};
};

// Returns the request class for a route's priority; priorities below the lowest
// class map to that class.
base::RequestClass ClassOf(int priority);

class RouteTable : public boost::intrusive_ref_counter<RouteTable> {
 public:
  // Throws base::Error(kMalformed) if a route is invalid or names an unknown
  // service.
  static boost::intrusive_ptr<const RouteTable> Build(
      uint64_t version, std::vector<Route> routes,
      std::vector<Service> services, const Limits& limits);

  // Returns the route of `host` with the longest prefix of `path`, or null. A
  // port in `host` and its case are ignored.
  const Route* Match(std::string_view host, std::string_view path) const;
  // Returns the route named `name`, or null.
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
  // Routes of each host, longest prefix first.
  std::unordered_map<std::string, std::vector<const Route*>> by_host_;
};
using RouteTablePtr = boost::intrusive_ptr<const RouteTable>;

}  // namespace almondwind::routes

#endif  // ALMONDWIND_ROUTES_TABLE_H_
