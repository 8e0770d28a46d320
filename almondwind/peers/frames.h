// Frames on the link between two sidecar nodes, and their wire form.
//
// A link is one TCP connection that either side dialled. Both sides say Hello
// first; then each may send any frame. Ids of calls are chosen by the sender
// of the call and are unique on its link.
//
// Wire form: 4 bytes length of what follows (big endian), 4 bytes length of the
// head, the head, the body. The head is 1 byte type and the fields as a
// MessagePack array; well-known header names travel as one number. Between
// zones heads are compressed from the hellos on (compressor.h); bodies are
// somebody else's bytes, often compressed already, and stay as they are. Decode
// throws base::Error(kMalformed) and never reads beyond the given bytes. Cost:
// one pass and one copy of the body.
#ifndef ALMONDWIND_PEERS_FRAMES_H_
#define ALMONDWIND_PEERS_FRAMES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "almondwind/http/message.h"
#include "almondwind/links/message.h"

namespace almondwind::peers {

// Raised whenever a field changes meaning; a peer of another version is
// refused at Hello.
constexpr uint32_t kProtocolVersion = 3;

enum class FrameType : uint8_t {
  kHello,
  kState,
  kCall,
  kCancel,
  kAnswer,
  kDocumentRequest,
  kDocument,
  kBodyPart,
  kCredit
};
constexpr size_t kFrameTypeCount = 9;

using http::BodyRest;

struct Hello {
  uint32_t protocol = kProtocolVersion;
  std::string address;  // "ip:port" at which the sender accepts links
  std::string zone;
  uint64_t incarnation = 0;
};

// What one run of a route costs at the sender's service.
struct RouteCost {
  std::string route;
  double slot_ms = 0;     // time in a slot, waiting for its calls included
  double runs_per_s = 0;  // at the sender's upstream
  // Calls made by one run, by the called route.
  std::vector<std::pair<std::string, double>> calls;
};

// Requests of one route that came to the sender from its host.
struct RouteDemand {
  std::string route;
  double per_s = 0;
  // Over a longer time: all, and those that no run in progress on the host can
  // have made.
  double seen = 0;
  double orphans = 0;
};

// What a node tells its peers of itself, a few times a second. It also shows
// that the link is alive.
struct State {
  uint64_t config_version = 0;
  uint64_t fleet_revision = 0;
  bool leaving = false;
  std::string service;  // of the upstream beside the sender
  links::Load load;
  // Whether demand and costs are told; else those told before hold on.
  bool detailed = false;
  std::vector<RouteDemand> demand;
  std::vector<RouteCost> costs;
};

// A request for the upstream beside the receiver.
struct Call {
  uint64_t id = 0;
  std::string upstream;  // id of the upstream that is meant
  std::string route;
  uint8_t cls = 0;  // base::RequestClass
  bool idempotent = false;
  uint32_t max_wait_ms = 0;   // in the gate's queue
  uint32_t time_left_ms = 0;  // of the request's deadline
  std::string caller_service;
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
  // Whether the request had reached the upstream, even if that refused it.
  bool arrived = false;
  uint32_t retry_after_ms = 0;
  links::Load load;
  uint32_t status = 0;
  std::string phrase;
  http::Headers headers;
  std::string body;
  BodyRest rest;
};

enum class BodyEnd : uint8_t {
  kMore,   // other parts follow
  kLast,   // the body is complete
  kBroken  // the rest will never come
};

// A part of a body too large for one frame. The sender keeps to the bytes that
// the receiver has granted by Credit.
struct BodyPart {
  uint64_t id = 0;          // of the call
  bool of_request = false;  // else of its answer
  uint8_t end = 0;          // BodyEnd
  std::string bytes;
};

// The receiver of a body takes this many more bytes of it.
struct Credit {
  uint64_t id = 0;
  bool of_request = false;
  uint32_t bytes = 0;
};

enum class DocumentKind : uint8_t { kConfig, kFleet };

// Asks for a document if the receiver has a newer one.
struct DocumentRequest {
  uint8_t kind = 0;  // DocumentKind
  uint64_t known_version = 0;
};

struct Document {
  uint8_t kind = 0;  // DocumentKind
  uint64_t version = 0;
  std::string text;
};

using Frame = std::variant<Hello, State, Call, Cancel, Answer, DocumentRequest,
                           Document, BodyPart, Credit>;

// Header names that travel as numbers; both sides must have the same list.
using HeaderNames = std::vector<std::string>;

// Returns the head of `frame`, without its length.
std::string Encode(const Frame& frame, const HeaderNames& names);

// Returns the body of `frame`; empty where its type has none.
std::string_view BodyOf(const Frame& frame);

// Returns the frame of `head` and `body`. Throws
// base::Error(kMalformed).
Frame Decode(std::string_view head, std::string_view body,
             const HeaderNames& names);

}  // namespace almondwind::peers

#endif  // ALMONDWIND_PEERS_FRAMES_H_
