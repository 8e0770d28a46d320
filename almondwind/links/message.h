// Messages on the link between two nodes, and their wire form.
//
// A link is one TCP connection, dialled by a router to a gate. The dialler
// says Hello, the gate answers Welcome with a session number; then Calls go
// one way and Answers the other. Ids of calls rise strictly within a session,
// which lets the gate drop every duplicated or reordered copy with one
// comparison.
//
// Wire form of a frame: 4 bytes length (big endian, of what follows), 1 byte
// type, then the fields as a MessagePack array in the order given here.
// Decode throws base::Error(kMalformed) on anything else; it never reads
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

// Raised whenever a field changes meaning; a peer of another version is
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

// What a gate tells of itself with each answer.
struct Load {
  uint32_t in_progress = 0;
  uint32_t limit = 0;
  uint32_t service_ms = 0;  // smoothed time of one run
  // Expected queue wait of a new call, and the time until one would be
  // admitted (0: at once), per class.
  std::array<uint32_t, base::kClassCount> wait_ms{};
  std::array<uint32_t, base::kClassCount> retry_after_ms{};
  bool leaving = false;
};

enum class CallKind : uint8_t { kRequest, kIssueContract };

struct Call {
  uint64_t session = 0;
  uint64_t id = 0;
  int64_t sent_at_ms = 0;  // sender's clock; gives the age of a late frame
  uint8_t kind = 0;        // CallKind
  std::string service;     // "team/name"
  std::string route;
  uint8_t cls = 0;  // base::RequestClass
  bool order = false;
  uint32_t timeout_ms = 0;  // what is left of the deadline
  uint32_t permits = 0;     // retry permits granted to the chain below
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
  uint32_t permits = 0;  // unspent, given back
  std::string contract;  // issued, or offered with the answer
  Load load;
  // Largest retry_after_ms met further down the chain, per class.
  std::array<uint32_t, base::kClassCount> below_ms{};
};

// The gate takes no new work from now on, or (leaving false) takes it again.
struct Leaving {
  std::string host;
  bool leaving = true;
};

using Message = std::variant<Hello, Welcome, Call, Cancel, Answer, Leaving>;

// Returns the whole frame of `message`.
std::string Encode(const Message& message);

// Returns the message of one frame without its 4 length bytes. Throws
// base::Error(kMalformed).
Message Decode(std::string_view frame);

// Returns the length that the 4 bytes at `header` announce.
uint32_t FrameLength(const unsigned char* header);

}  // namespace almondwind::links

#endif  // ALMONDWIND_LINKS_MESSAGE_H_
