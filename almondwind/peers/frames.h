// Frames on the link between two sidecar nodes, and their wire format.
//
// A link is one TCP connection, dialed by either side. Both sides send Hello
// first; after that, either may send any frame. The id of a call is chosen by
// the sender of the call and is unique on its link.
//
// A frame consists of a 4-byte big-endian length of what follows, a 4-byte
// length of the head, the head, and the body. The head is a 1-byte type and the
// fields as a MessagePack array; well-known header names are encoded as
// numbers. Between zones, heads are compressed after the Hello frames
// (compressor.h). Bodies belong to the application, are often compressed
// already, and are sent unchanged. Decode throws base::Error(kMalformed) and
// never reads beyond the given bytes. Cost: one pass and one copy of the body.
#ifndef ALMONDWIND_PEERS_FRAMES_H_
#define ALMONDWIND_PEERS_FRAMES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "almondwind/fleet/revision.h"
#include "almondwind/http/message.h"
#include "almondwind/links/message.h"
#include "almondwind/machines/announcement.h"

namespace almondwind::peers {

// Incremented whenever a field changes meaning; a peer with another version is
// refused at Hello.
constexpr uint32_t kProtocolVersion = 9;

enum class FrameType : uint8_t {
  kHello,
  kState,
  kCall,
  kCancel,
  kAnswer,
  kDocumentRequest,
  kDocument,
  kBodyPart,
  kCredit,
  kCrashReports
};
constexpr size_t kFrameTypeCount = 10;

using http::BodyRest;

struct Hello {
  uint32_t protocol = kProtocolVersion;
  std::string address;  // "ip:port" at which the sender accepts links
  std::string zone;
  uint64_t incarnation = 0;
};

// Cost of one run of a route at the sender's service.
struct RouteCost {
  std::string route;
  double slot_ms = 0;     // time in a slot, including waits for its calls
  double runs_per_s = 0;  // at the sender's upstream
  // Number of calls made by one run, by called route.
  std::vector<std::pair<std::string, double>> calls;
};

// Requests for one route that the sender received from its own host.
struct RouteDemand {
  std::string route;
  double per_s = 0;
  // Counted over a longer window: all requests, and those that no run in
  // progress on the host can have made.
  double seen = 0;
  double orphans = 0;
};

// State of a node, which it sends to its peers a few times per second. It also
// serves as the link's keep-alive.
struct State {
  uint64_t config_version = 0;
  fleet::Revision fleet_revision;
  // The sender had everything up to this revision of the store when the store
  // was at it, which is confirmed_age_ms ago.
  fleet::Revision confirmed_revision;
  uint32_t confirmed_age_ms = 0;
  // Time since the store first answered in the epoch of fleet_revision, as far
  // as the sender has heard.
  uint32_t epoch_age_ms = 0;
  bool can_read_store = true;
  bool leaving = false;
  std::string service;  // of the sender's upstream
  links::Load load;
  machines::Announcement announcement;  // of the sender's upstream
  // Whether demand and costs are included; if not, the previous ones stay
  // valid.
  bool detailed = false;
  std::vector<RouteDemand> demand;
  std::vector<RouteCost> costs;
};

// A request for the receiver's upstream.
struct Call {
  uint64_t id = 0;
  std::string upstream;  // id of the target upstream
  std::string route;
  uint8_t cls = 0;  // base::RequestClass
  bool idempotent = false;
  uint32_t max_wait_ms = 0;   // in the gate's queue
  uint32_t time_left_ms = 0;  // of the request's deadline
  std::string caller_service;
  // What the sender remembers of the upstream, for a gate that has restarted.
  machines::Announcement reminder;
  std::string method;
  std::string target;
  http::Headers headers;
  std::string body;
  BodyRest rest;
};

struct Cancel {
  uint64_t id = 0;
};

struct Answer {
  uint64_t id = 0;
  uint8_t outcome = 0;  // base::Outcome
  uint8_t reason = 0;   // base::Reason
  // Whether the request reached the upstream, even if the upstream refused it.
  bool arrived = false;
  uint32_t retry_after_ms = 0;
  links::Load load;
  machines::Announcement announcement;  // empty upstream: nothing announced
  uint32_t status = 0;
  std::string phrase;
  http::Headers headers;
  std::string body;
  BodyRest rest;
};

enum class BodyEnd : uint8_t {
  kMore,   // more parts follow
  kLast,   // the body is complete
  kBroken  // the body ends early; no more parts follow
};

// A part of a body that is too large for one frame. The sender sends no more
// bytes than the receiver has granted with Credit frames.
struct BodyPart {
  uint64_t id = 0;          // of the call
  bool of_request = false;  // false: of its answer
  uint8_t end = 0;          // BodyEnd
  std::string bytes;
};

// Flow-control credit: the receiver accepts this many more bytes of the body.
struct Credit {
  uint64_t id = 0;
  bool of_request = false;
  uint32_t bytes = 0;
};

enum class DocumentKind : uint8_t { kConfig, kFleet };

// The version of a document: of the list of upstreams the store's revision, of
// the configuration the number that the operators gave it, with epoch 0. That
// number never goes back, also if the store is restored.
using DocumentVersion = fleet::Revision;

// Requests a document if the receiver has one newer than `known_version`.
struct DocumentRequest {
  uint8_t kind = 0;  // DocumentKind
  DocumentVersion known_version;
};

struct Document {
  uint8_t kind = 0;  // DocumentKind
  DocumentVersion version;
  std::string text;
};

// See crashes::Report.
struct CrashReport {
  std::string request;
  std::string upstream;
  uint64_t age_ms = 0;
};

// Requests under which upstreams have ended, or that were answered since.
struct CrashReports {
  std::vector<CrashReport> reports;
};

using Frame = std::variant<Hello, State, Call, Cancel, Answer, DocumentRequest,
                           Document, BodyPart, Credit, CrashReports>;

// Header names that are encoded as their index in this list. Both sides must
// have the same list.
using HeaderNames = std::vector<std::string>;

// Returns the encoded head of `frame`, without its length.
std::string Encode(const Frame& frame, const HeaderNames& names);

// Returns the body of `frame`; empty if its type has none.
std::string_view BodyOf(const Frame& frame);

// Returns the frame with `head` and `body`. Throws base::Error(kMalformed).
Frame Decode(std::string_view head, std::string_view body,
             const HeaderNames& names);

}  // namespace almondwind::peers

#endif  // ALMONDWIND_PEERS_FRAMES_H_
