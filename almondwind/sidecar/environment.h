// Interfaces between a sidecar node and the platform that it runs on.
//
// The interfaces use the types of this library. A platform adapter translates
// between them and the platform's header names, formats and API calls; it makes
// no decisions of its own.
#ifndef ALMONDWIND_SIDECAR_ENVIRONMENT_H_
#define ALMONDWIND_SIDECAR_ENVIRONMENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "almondwind/base/clock.h"
#include "almondwind/fleet/reader_election.h"
#include "almondwind/fleet/revision.h"
#include "almondwind/fleet/view.h"
#include "almondwind/http/message.h"
#include "almondwind/routes/retry_budget.h"
#include "almondwind/routes/table.h"

namespace almondwind::sidecar {

// Request metadata that the caller sends in header fields.
struct CallerMetadata {
  std::string request_id;               // unique per attempt; empty: none
  std::optional<base::Millis> timeout;  // how long the caller waits
};

// Metadata that is sent to the upstream with a request.
struct UpstreamMetadata {
  std::string upstream;        // id of the intended upstream
  std::string caller_service;  // service that made the request
  base::Millis time_left{0};
};

// Metadata that an upstream sends with its response.
struct ResponseMetadata {
  std::optional<std::string> request_id;  // of the request answered
  bool sealed = false;          // the seal of a complete response is present
  bool not_run = false;         // the upstream did not run the request
  bool wrong_upstream = false;  // the address now belongs to another upstream
  bool encoded = false;         // the body was re-encoded on the way
  // Requests per second that the upstream takes from all nodes together.
  std::optional<double> rate;
  bool leaving = false;                 // the upstream is going to shut down
  std::optional<std::string> upstream;  // id of the upstream that responds
  // Keep-alive timeout of the connection, if the upstream announces one.
  std::optional<base::Millis> idle_limit;
};

// Reads and writes the platform's header fields.
class Dialect {
 public:
  virtual ~Dialect() = default;
  virtual CallerMetadata ReadCaller(const http::Headers& headers) const = 0;
  // Removes the fields that only the sidecar itself may set.
  virtual void RemoveSystemFields(http::Headers& headers) const = 0;
  virtual void WriteUpstream(const UpstreamMetadata& metadata,
                             http::Headers& headers) const = 0;
  virtual ResponseMetadata ReadAnswer(const http::Response& response) const = 0;
  // Adds the time after which the caller may retry.
  virtual void WriteRetryAfter(base::Millis delay,
                               http::Headers& headers) const = 0;
  // Names of headers that nearly every message has; links send them as numbers.
  virtual std::vector<std::string> CommonNames() const = 0;
};

// Receives what the platform publishes. Revisions only increase; a new epoch
// begins with a complete list.
class FeedEvents {
 public:
  virtual ~FeedEvents() = default;
  // The operators' configuration, as the published document.
  virtual void OnConfig(const std::string& document) = 0;
  virtual void OnUpstreams(const std::vector<fleet::Upstream>& upstreams,
                           const fleet::Revision& revision) = 0;
  virtual void OnUpstream(const fleet::Upstream& upstream) = 0;
  virtual void OnUpstreamGone(const std::string& id,
                              const fleet::Revision& revision) = 0;
  // All changes up to `revision` have been delivered.
  virtual void OnRevision(const fleet::Revision& revision) = 0;
  // The store has answered from another epoch than before: it was restored from
  // an older copy, or this is its first answer. The number of `revision` is 0
  // if the answer does not say it.
  virtual void OnEpoch(const fleet::Revision& revision) = 0;
  // All items have been listed, as of `revision` of the store at the least.
  virtual void OnListed(const fleet::Revision& revision, bool stale) = 0;
  virtual void OnAvailable(bool available, const std::string& why) = 0;
  // A watch was not answered in time, though the store answers reads: it is at
  // `revision`. If that is newer than what has been delivered, the complete
  // list follows.
  virtual void OnWatchUnanswered(const fleet::Revision& revision) = 0;
  // An entry or document cannot be parsed. It is ignored.
  virtual void OnUnreadable(const std::string& key, const std::string& why) = 0;
};

class Feed {
 public:
  virtual ~Feed() = default;
  // Delivers the configuration and the complete list of upstreams once, then
  // their changes, by short watches until Watch sets another mode.
  virtual void Start(FeedEvents& events) = 0;
  // Sets how changes are followed from now on. `revision` is the store's
  // revision up to which the caller is complete, by this feed or by other
  // sources. If it is known and `mode` is kNone, a list that is still being
  // read is abandoned.
  virtual void Watch(fleet::WatchMode mode,
                     const fleet::Revision& revision) = 0;
  virtual void Stop() = 0;
};

// Parses the configuration document. Throws base::Error(kMalformed), naming the
// fault, if any part of it is invalid.
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
  std::string service;     // of the local upstream
  std::string upstream;    // "ip:port" of the local upstream
  std::string callers;     // "ip:port" for callers on this host
  std::string links;       // "ip:port" that peers connect to
  std::string bind_links;  // "ip:port" to listen on; empty: `links`
  std::string ready;       // "ip:port" of the readiness page
  std::string store;       // "ip:port" of the platform's store
  std::string metrics;     // "ip:port" of the operator pages; empty: none
  uint16_t peer_port = 0;  // port of the links of all nodes
  base::Millis stop_grace{6000};  // from SIGTERM to SIGKILL
  base::Millis heartbeat{1500};   // between two heartbeats of an upstream
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
