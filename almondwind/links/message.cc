#include "almondwind/links/message.h"

#include <msgpack.hpp>

namespace almondwind::links {
namespace {

using base::Error;
using base::Reason;

// Visit the fields of each message in wire order, to encode or decode them.
template <typename F>
void VisitFields(F& f, Hello& m) {
  f(m.protocol, m.host, m.zone, m.incarnation, m.sent_at_ms);
}
template <typename F>
void VisitFields(F& f, Welcome& m) {
  f(m.host, m.incarnation, m.session, m.leaving);
}
template <typename F>
void VisitFields(F& f, Call& m) {
  f(m.session, m.id, m.sent_at_ms, m.kind, m.service, m.route, m.cls, m.order,
    m.timeout_ms, m.permits, m.request_id, m.key, m.method, m.target,
    m.content_type, m.body);
}
template <typename F>
void VisitFields(F& f, Cancel& m) {
  f(m.session, m.id);
}
template <typename F>
void VisitFields(F& f, Answer& m) {
  f(m.session, m.id, m.outcome, m.reason, m.status, m.content_type, m.body,
    m.permits, m.contract, m.load.in_progress, m.load.limit, m.load.service_ms,
    m.load.wait_ms, m.load.retry_after_ms, m.load.leaving, m.below_ms);
}
template <typename F>
void VisitFields(F& f, Leaving& m) {
  f(m.host, m.leaving);
}

struct FieldPacker {
  msgpack::packer<msgpack::sbuffer>& out;
  template <typename... T>
  void operator()(const T&... field) {
    out.pack_array(sizeof...(field));
    (out.pack(field), ...);
  }
};

struct FieldUnpacker {
  const msgpack::object& in;
  template <typename... T>
  void operator()(T&... field) {
    if (in.type != msgpack::type::ARRAY ||
        in.via.array.size != sizeof...(field)) {
      throw Error(Reason::kMalformed,
                  "link frame has a wrong number of fields");
    }
    size_t i = 0;
    (in.via.array.ptr[i++].convert(field), ...);
  }
};

template <typename T>
Message Unpack(std::string_view payload) {
  T message;
  size_t used = 0;
  // The limits keep a forged length field from causing a large allocation.
  msgpack::unpack_limit limit(64, 0, payload.size(), payload.size(), 0, 4);
  msgpack::object_handle handle = msgpack::unpack(
      payload.data(), payload.size(), used, nullptr, nullptr, limit);
  if (used != payload.size()) {
    throw Error(Reason::kMalformed, "link frame has trailing bytes");
  }
  FieldUnpacker unpacker{handle.get()};
  VisitFields(unpacker, message);
  return message;
}

void CheckRanges(const Message& message) {
  bool valid = true;
  if (const Call* call = std::get_if<Call>(&message)) {
    valid = call->cls < base::kClassCount && call->kind <= 1;
  } else if (const Answer* answer = std::get_if<Answer>(&message)) {
    valid = answer->outcome < base::kOutcomeNames.size() &&
            answer->reason < base::kReasonCount;
  }
  if (!valid) throw Error(Reason::kMalformed, "link frame field out of range");
}

Message DecodePayload(MessageType type, std::string_view payload) {
  switch (type) {
    case MessageType::kHello:
      return Unpack<Hello>(payload);
    case MessageType::kWelcome:
      return Unpack<Welcome>(payload);
    case MessageType::kCall:
      return Unpack<Call>(payload);
    case MessageType::kCancel:
      return Unpack<Cancel>(payload);
    case MessageType::kAnswer:
      return Unpack<Answer>(payload);
    case MessageType::kLeaving:
      return Unpack<Leaving>(payload);
  }
  throw Error(Reason::kMalformed, "link frame of unknown type");
}

}  // namespace

std::string Encode(const Message& message) {
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  std::visit(
      [&packer](const auto& m) {
        FieldPacker fields{packer};
        // VisitFields takes a mutable reference because decoding needs one; the
        // packer only reads.
        VisitFields(fields, const_cast<std::decay_t<decltype(m)>&>(m));
      },
      message);
  auto length = static_cast<uint32_t>(buffer.size() + 1);
  std::string frame;
  frame.reserve(buffer.size() + kFrameHeaderBytes);
  frame.push_back(static_cast<char>(length >> 24));
  frame.push_back(static_cast<char>(length >> 16));
  frame.push_back(static_cast<char>(length >> 8));
  frame.push_back(static_cast<char>(length));
  frame.push_back(static_cast<char>(message.index()));
  frame.append(buffer.data(), buffer.size());
  return frame;
}

Message Decode(std::string_view frame) {
  if (frame.empty()) throw Error(Reason::kMalformed, "link frame is empty");
  auto type = static_cast<unsigned char>(frame[0]);
  if (type >= kMessageTypeCount) {
    throw Error(Reason::kMalformed, "link frame of unknown type");
  }
  try {
    Message message =
        DecodePayload(static_cast<MessageType>(type), frame.substr(1));
    CheckRanges(message);
    return message;
  } catch (const msgpack::unpack_error& e) {
    throw Error(Reason::kMalformed, e.what());
  } catch (const msgpack::type_error& e) {
    throw Error(Reason::kMalformed, e.what());
  }
}

uint32_t FrameLength(const unsigned char* header) {
  return (uint32_t{header[0]} << 24) | (uint32_t{header[1]} << 16) |
         (uint32_t{header[2]} << 8) | uint32_t{header[3]};
}

}  // namespace almondwind::links
