// What a sidecar node asks of the platform that it runs on.
//
// The interfaces speak of requests, routes and upstreams in the product's own
// types; an adapter translates them from and to the platform's names, formats
// and calls, and decides nothing.
#ifndef ALMONDWIND_SIDECAR_ENVIRONMENT_H_
#define ALMONDWIND_SIDECAR_ENVIRONMENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "almondwind/base/clock.h"
#include "almondwind/fleet/view.h"
#include "almondwind/http/message.h"
#include "almondwind/routes/retry_budget.h"
#include "almondwind/routes/table.h"

namespace almondwind::sidecar {

// What a caller says of its request.
struct CallerMetadata {
  std::string request_id;  // unique to each try of a caller; empty: none
  std::optional<base::Millis> timeout;  // how long it will wait
};

// What the upstream is told beside the request itself.
struct UpstreamMetadata {
  std::string upstream;        // id of the upstream that is meant
  std::string caller_service;  // where the request originated
  base::Millis time_left{0};
};

// What an upstream says of its answer.
struct ResponseMetadata {
  std::optional<std::string> request_id;  // of the request that it answers
  bool sealed = false;          // the upstream vouches for the whole answer
  bool not_run = false;         // it did not run the request
  bool wrong_upstream = false;  // another upstream has the address now
  bool encoded = false;         // the body is not the upstream's own bytes
  // How long the connection may stay idle, where the upstream says so.
  std::optional<base::Millis> idle_limit;
};

// The platform's header fields.
class Dialect {
 public:
  virtual ~Dialect() = default;
  virtual CallerMetadata ReadCaller(const http::Headers& headers) const = 0;
  // Removes what only the system itself may say.
  virtual void RemoveSystemFields(http::Headers& headers) const = 0;
  virtual void WriteUpstream(const UpstreamMetadata& metadata,
                             http::Headers& headers) const = 0;
  virtual ResponseMetadata ReadAnswer(const http::Response& response) const = 0;
  // Says when a caller may come back.
  virtual void WriteRetryAfter(base::Millis delay,
                               http::Headers& headers) const = 0;
  // Names of headers that nearly every message has.
  virtual std::vector<std::string> CommonNames() const = 0;
};

// What the platform publishes, as it becomes known. Revisions rise.
class FeedEvents {
 public:
  virtual ~FeedEvents() = default;
  // The document of the operators' configuration, as published.
  virtual void OnConfig(const std::string& document) = 0;
  virtual void OnUpstreams(const std::vector<fleet::Upstream>& upstreams,
                           uint64_t revision) = 0;
  virtual void OnUpstream(const fleet::Upstream& upstream) = 0;
  virtual void OnUpstreamGone(const std::string& id, uint64_t revision) = 0;
  // All changes up to `revision` have been told.
  virtual void OnRevision(uint64_t revision) = 0;
  virtual void OnAvailable(bool available, const std::string& why) = 0;
  // An entry or document that cannot be read; it names nothing to use.
  virtual void OnUnreadable(const std::string& key, const std::string& why) = 0;
};

class Feed {
 public:
  virtual ~Feed() = default;
  virtual void Start(FeedEvents& events) = 0;
  virtual void Stop() = 0;
};

// Translates the configuration's document. Throws base::Error(kMalformed),
// naming the fault, if it is not valid as a whole.
class ConfigFormat {
 public:
  virtual ~ConfigFormat() = default;
  virtual routes::RouteTablePtr Parse(const std::string& document) const = 0;
};

// Settings of one node.
struct Settings {
  std::string node;
  std::string zone;
  std::string region;
  std::string service;            // of the upstream beside the node
  std::string upstream;           // "ip:port" of the upstream beside the node
  std::string callers;            // "ip:port" for callers on this host
  std::string links;              // "ip:port" for links of peers
  std::string bind_links;         // where to listen for them; empty: there
  std::string ready;              // "ip:port" at which readiness is asked for
  std::string store;              // "ip:port" of the platform's store
  std::string metrics;            // "ip:port" of the metrics; empty: none
  uint16_t peer_port = 0;         // of the links of every other node
  base::Millis stop_grace{6000};  // from SIGTERM until the process is killed
  routes::RetryBudgetOptions retry_budget;
  int64_t memory_bytes = 256 << 20;
  int max_descriptors = 1024;
};

class SettingsSource {
 public:
  virtual ~SettingsSource() = default;
  // Throws base::Error(kMalformed), naming the fault and the remedy.
  virtual Settings Read() = 0;
  // Whether the settings have changed since Read.
  virtual bool Changed() = 0;
};

}  // namespace almondwind::sidecar

#endif  // ALMONDWIND_SIDECAR_ENVIRONMENT_H_
