// Remembers under which requests upstreams have ended, to refuse those that
// crash whatever runs them.
//
// When an upstream process ends, each request in progress may be the cause. If
// upstreams have ended under some of them before, only those with the most such
// ends are blamed, otherwise all. A request that an upstream answers is
// cleared: a request that crashes upstreams is never answered, and most of the
// others are. After HistoryOptions::crashes_until_refused ends a request is
// refused for HistoryOptions::refusal. After that time one more end refuses it
// again, and an answer clears it.
//
//   reports = history.OnUpstreamEnded("i-17@81500", in_progress, now);
//   if (history.StandingOf(identity, now).refused()) Refuse();
//   if (history.OnCompleted(identity)) TellPeers();
//
// Nodes exchange reports, each about one request and one upstream process, so
// that it does not matter in which order or how often they arrive.
//
// Bounds: HistoryOptions::max_requests requests; beyond them the one with the
// fewest ends, then the oldest, is forgotten. Cost: one map lookup; a new
// request beyond the bound scans all. Not thread-safe.
#ifndef ALMONDWIND_CRASHES_HISTORY_H_
#define ALMONDWIND_CRASHES_HISTORY_H_

#include <map>
#include <string>
#include <vector>

#include "almondwind/base/clock.h"

namespace almondwind::crashes {

struct HistoryOptions {
  // The platform allows three ends of upstreams under a request.
  int crashes_until_refused = 3;
  // How long a smaller number of ends is remembered: requests are repeated
  // within seconds.
  base::Millis suspicion{60'000};
  // How long a request is refused. Its cause lasts until the software of the
  // upstreams is replaced, and each run after this time may end one more.
  base::Millis refusal{300'000};
  size_t max_requests = 256;
};

// An upstream process has ended under a request, or the request was answered.
struct Report {
  std::string request;   // identity
  std::string upstream;  // names the end, once; empty: it was answered
  base::Millis age{0};   // time since then
};

// What is known of a request.
struct Standing {
  int crashes = 0;              // upstreams that have ended under it
  base::Millis refused_for{0};  // from now on
  bool refused() const { return refused_for > base::Millis(0); }
};

class History {
 public:
  explicit History(const HistoryOptions& options) : options_(options) {}

  // An upstream process has ended while `requests` were in progress. `upstream`
  // names that end in the fleet. Returns what to tell peers.
  std::vector<Report> OnUpstreamEnded(const std::string& upstream,
                                      const std::vector<std::string>& requests,
                                      base::Millis now);
  // An upstream has answered the request. Returns whether peers must be told.
  bool OnCompleted(const std::string& request);
  // Adds what a peer reports; returns whether it is new.
  bool Add(const Report& report, base::Millis now);
  // Returns all reports that a peer needs to know as much.
  std::vector<Report> Reports(base::Millis now);
  Standing StandingOf(const std::string& request, base::Millis now);

  bool empty() const { return records_.empty(); }
  size_t size() const { return records_.size(); }

 private:
  struct Crash {
    std::string upstream;
    base::Millis at{0};
  };
  struct Record {
    std::vector<Crash> crashes;  // oldest first
    base::Millis newest() const { return crashes.back().at; }
  };

  int CrashesOf(const Record& record, base::Millis now) const;
  bool Expired(const Record& record, base::Millis now) const;
  void RemoveExpired(base::Millis now);
  void MakeRoom();

  const HistoryOptions options_;
  std::map<std::string, Record> records_;  // by identity
};

}  // namespace almondwind::crashes

#endif  // ALMONDWIND_CRASHES_HISTORY_H_
