// Messages on the link between two nodes, and their wire format.
//
// A link is one TCP connection, dialed by a router to a gate. The router sends
// Hello and the gate replies with Welcome, which assigns a session number. From
// then on the router sends Calls and the gate sends Answers. Call ids increase
// strictly within a session, so the gate can drop every duplicated or
// reordered copy with one comparison.
//
// A frame consists of a 4-byte big-endian length (of what follows), a 1-byte
// type, and the fields as a MessagePack array in the order declared here.
// Decode throws base::Error(kMalformed) on any other input and never reads
// beyond the given bytes. Cost: one pass and one copy of the body.
#ifndef ALMONDWIND_LINKS_MESSAGE_H_
#define ALMONDWIND_LINKS_MESSAGE_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "almondwind/base/outcome.h"

namespace almondwind::links {

// Incremented whenever a field changes meaning; a peer with another version is
// refused at Hello.
constexpr uint32_t kProtocolVersion = 1;
constexpr size_t kFrameHeaderBytes = 5;

enum class MessageType : uint8_t {
  kHello,
  kWelcome,
  kCall,
  kCancel,
  kAnswer,
  kLeaving
};
constexpr size_t kMessageTypeCount = 6;

struct Hello {
  uint32_t protocol = kProtocolVersion;
  std::string host;
  std::string zone;
  uint64_t incarnation = 0;
  int64_t sent_at_ms = 0;  // sender's clock
};

struct Welcome {
  std::string host;
  uint64_t incarnation = 0;
  uint64_t session = 0;
  bool leaving = false;
};

// Load of a gate, sent with each answer.
struct Load {
  uint32_t in_progress = 0;
  uint32_t limit = 0;
  uint32_t service_ms = 0;  // smoothed run time
  // Per class: expected queue wait of a new call, and time until a new call
  // would be admitted (0: immediately).
  std::array<uint32_t, base::kClassCount> wait_ms{};
  std::array<uint32_t, base::kClassCount> retry_after_ms{};
  bool leaving = false;
};

enum class CallKind : uint8_t { kRequest, kIssueContract };

struct Call {
  uint64_t session = 0;
  uint64_t id = 0;
  int64_t sent_at_ms = 0;  // sender's clock; gives the age of a delayed frame
  uint8_t kind = 0;        // CallKind
  std::string service;     // "team/name"
  std::string route;
  uint8_t cls = 0;  // base::RequestClass
  bool order = false;
  uint32_t timeout_ms = 0;  // time left until the deadline
  uint32_t permits = 0;     // retry permits granted to the chain downstream
  std::string request_id;
  std::string key;  // contract of an order
  std::string method;
  std::string target;
  std::string content_type;
  std::string body;
};

struct Cancel {
  uint64_t session = 0;
  uint64_t id = 0;
};

struct Answer {
  uint64_t session = 0;
  uint64_t id = 0;
  uint8_t outcome = 0;  // base::Outcome
  uint8_t reason = 0;   // base::Reason
  uint32_t status = 0;
  std::string content_type;
  std::string body;
  uint32_t permits = 0;  // retry permits not spent, returned
  std::string contract;  // newly issued, or offered along with the answer
  Load load;
  // Largest retry_after_ms reported further down the chain, per class.
  std::array<uint32_t, base::kClassCount> below_ms{};
};

// The gate accepts no new work from now on or, if `leaving` is false, accepts
// it again.
struct Leaving {
  std::string host;
  bool leaving = true;
};

using Message = std::variant<Hello, Welcome, Call, Cancel, Answer, Leaving>;

// Returns the frame of `message`, with its 4 length bytes.
std::string Encode(const Message& message);

// Returns the message in `frame`, which excludes the 4 length bytes. Throws
// base::Error(kMalformed).
Message Decode(std::string_view frame);

// Returns the frame length encoded in the 4 bytes at `header`.
uint32_t FrameLength(const unsigned char* header);

}  // namespace almondwind::links

#endif  // ALMONDWIND_LINKS_MESSAGE_H_
