#include "almondwind/peers/frames.h"

#include <msgpack.hpp>

#include "almondwind/base/outcome.h"

namespace almondwind::peers {
namespace {

using base::Error;
using base::Reason;

// Wire form of HTTP headers: a name in `names` is encoded as its index, any
// other as a string.
struct WireHeaders {
  http::Headers& headers;
  const HeaderNames& names;

  template <typename Packer>
  void Pack(Packer& out) const {
    out.pack_array(static_cast<uint32_t>(headers.fields().size() * 2));
    for (const http::Header& field : headers.fields()) {
      size_t index = 0;
      while (index < names.size() &&
             !http::EqualNoCase(names[index], field.name)) {
        ++index;
      }
      if (index < names.size()) {
        out.pack(index);
      } else {
        out.pack(field.name);
      }
      out.pack(field.value);
    }
  }

  void Unpack(const msgpack::object& in) {
    if (in.type != msgpack::type::ARRAY || in.via.array.size % 2 != 0) {
      throw Error(Reason::kMalformed,
                  "link frame headers are not a list of pairs");
    }
    for (uint32_t i = 0; i < in.via.array.size; i += 2) {
      const msgpack::object& name = in.via.array.ptr[i];
      auto value = in.via.array.ptr[i + 1].as<std::string>();
      if (name.type != msgpack::type::POSITIVE_INTEGER) {
        headers.Add(name.as<std::string>(), value);
      } else if (name.via.u64 < names.size()) {
        headers.Add(names[name.via.u64], value);
      } else {
        throw Error(Reason::kMalformed,
                    "link frame header has an unknown name");
      }
    }
  }
};

template <typename F>
void VisitFields(F& f, Hello& m) {
  f(m.protocol, m.address, m.zone, m.incarnation);
}
template <typename F>
void VisitFields(F& f, RouteCost& m) {
  f(m.route, m.slot_ms, m.runs_per_s, m.calls);
}
template <typename F>
void VisitFields(F& f, RouteDemand& m) {
  f(m.route, m.per_s, m.seen, m.orphans);
}
template <typename F>
void VisitFields(F& f, links::Load& m) {
  f(m.in_progress, m.limit, m.service_ms, m.wait_ms, m.retry_after_ms,
    m.leaving);
}
template <typename F>
void VisitFields(F& f, fleet::Revision& m) {
  f(m.epoch, m.number);
}
template <typename F>
void VisitFields(F& f, machines::Announcement& m) {
  f(m.upstream, m.started_at, m.first_hand, m.rate, m.leaving);
}
template <typename F>
void VisitFields(F& f, State& m) {
  f(m.config_version, m.fleet_revision, m.confirmed_revision,
    m.confirmed_age_ms, m.epoch_age_ms, m.can_read_store, m.leaving, m.service,
    m.load, m.announcement, m.detailed, m.demand, m.costs);
}
template <typename F>
void VisitFields(F& f, Call& m) {
  f(m.id, m.upstream, m.route, m.cls, m.idempotent, m.max_wait_ms,
    m.time_left_ms, m.caller_service, m.reminder, m.method, m.target, m.headers,
    m.rest);
}
template <typename F>
void VisitFields(F& f, Cancel& m) {
  f(m.id);
}
template <typename F>
void VisitFields(F& f, Answer& m) {
  f(m.id, m.outcome, m.reason, m.arrived, m.retry_after_ms, m.load,
    m.announcement, m.status, m.phrase, m.headers, m.rest);
}
template <typename F>
void VisitFields(F& f, DocumentRequest& m) {
  f(m.kind, m.known_version);
}
template <typename F>
void VisitFields(F& f, Document& m) {
  f(m.kind, m.version, m.text);
}
template <typename F>
void VisitFields(F& f, BodyPart& m) {
  f(m.id, m.of_request, m.end);
}
template <typename F>
void VisitFields(F& f, Credit& m) {
  f(m.id, m.of_request, m.bytes);
}

template <typename F>
void VisitFields(F& f, CrashReport& m) {
  f(m.request, m.upstream, m.age_ms);
}
template <typename F>
void VisitFields(F& f, CrashReports& m) {
  f(m.reports);
}

template <typename T>
constexpr bool kIsStructList = std::is_same_v<T, std::vector<RouteCost>> ||
                               std::is_same_v<T, std::vector<CrashReport>> ||
                               std::is_same_v<T, std::vector<RouteDemand>>;

struct FieldPacker {
  msgpack::packer<msgpack::sbuffer>& out;
  const HeaderNames& names;

  template <typename... T>
  void operator()(T&... field) {
    out.pack_array(sizeof...(field));
    (PackField(field), ...);
  }
  // Writes nil if nothing follows, otherwise the length of the body, or false
  // if the length is unknown.
  void PackRest(const BodyRest& rest) {
    if (!rest.follows) {
      out.pack_nil();
    } else if (rest.length) {
      out.pack(*rest.length);
    } else {
      out.pack(false);
    }
  }
  template <typename T>
  void PackField(T& field) {
    if constexpr (std::is_same_v<T, http::Headers>) {
      WireHeaders{field, names}.Pack(out);
    } else if constexpr (std::is_same_v<T, links::Load> ||
                         std::is_same_v<T, fleet::Revision>) {
      VisitFields(*this, field);
    } else if constexpr (std::is_same_v<T, machines::Announcement>) {
      if (field.upstream.empty()) {
        out.pack_nil();
      } else {
        VisitFields(*this, field);
      }
    } else if constexpr (std::is_same_v<T, std::optional<double>>) {
      if (field) {
        out.pack(*field);
      } else {
        out.pack_nil();
      }
    } else if constexpr (std::is_same_v<T, double>) {
      // float is precise enough for measured values and halves their size.
      out.pack(static_cast<float>(field));
    } else if constexpr (std::is_same_v<T, BodyRest>) {
      PackRest(field);
    } else if constexpr (kIsStructList<T>) {
      out.pack_array(static_cast<uint32_t>(field.size()));
      for (auto& row : field) VisitFields(*this, row);
    } else {
      out.pack(field);
    }
  }
};

struct FieldUnpacker {
  const msgpack::object& in;
  const HeaderNames& names;

  template <typename... T>
  void operator()(T&... field) {
    if (in.type != msgpack::type::ARRAY ||
        in.via.array.size != sizeof...(field)) {
      throw Error(Reason::kMalformed,
                  "link frame has a wrong number of fields");
    }
    size_t i = 0;
    (UnpackField(in.via.array.ptr[i++], field), ...);
  }
  static void UnpackRest(const msgpack::object& object, BodyRest& rest) {
    rest.follows = !object.is_nil();
    if (object.type == msgpack::type::POSITIVE_INTEGER) {
      rest.length = object.via.u64;
    } else if (rest.follows && object.type != msgpack::type::BOOLEAN) {
      throw Error(Reason::kMalformed, "link frame has an invalid body length");
    }
  }
  template <typename T>
  void UnpackField(const msgpack::object& object, T& field) {
    if constexpr (std::is_same_v<T, http::Headers>) {
      WireHeaders{field, names}.Unpack(object);
    } else if constexpr (std::is_same_v<T, links::Load> ||
                         std::is_same_v<T, fleet::Revision>) {
      FieldUnpacker inner{object, names};
      VisitFields(inner, field);
    } else if constexpr (std::is_same_v<T, machines::Announcement>) {
      if (object.is_nil()) return;
      FieldUnpacker inner{object, names};
      VisitFields(inner, field);
    } else if constexpr (std::is_same_v<T, std::optional<double>>) {
      if (!object.is_nil()) field = object.as<double>();
    } else if constexpr (std::is_same_v<T, BodyRest>) {
      UnpackRest(object, field);
    } else if constexpr (kIsStructList<T>) {
      for (const auto& item : object.as<std::vector<msgpack::object>>()) {
        FieldUnpacker inner{item, names};
        VisitFields(inner, field.emplace_back());
      }
    } else {
      object.convert(field);
    }
  }
};

template <typename T>
Frame Unpack(std::string_view payload, const HeaderNames& names) {
  T frame;
  size_t used = 0;
  // The limits keep a forged length field from causing a large allocation.
  msgpack::unpack_limit limit(4096, 0, payload.size(), payload.size(), 0, 8);
  msgpack::object_handle handle = msgpack::unpack(
      payload.data(), payload.size(), used, nullptr, nullptr, limit);
  if (used != payload.size()) {
    throw Error(Reason::kMalformed, "link frame has trailing bytes");
  }
  FieldUnpacker unpacker{handle.get(), names};
  VisitFields(unpacker, frame);
  return frame;
}

void CheckRanges(const Frame& frame) {
  bool valid = true;
  if (const Call* call = std::get_if<Call>(&frame)) {
    valid = call->cls < base::kClassCount;
  } else if (const Answer* answer = std::get_if<Answer>(&frame)) {
    valid = answer->outcome < base::kOutcomeNames.size() &&
            answer->reason < base::kReasonCount;
  } else if (const DocumentRequest* request =
                 std::get_if<DocumentRequest>(&frame)) {
    valid = request->kind <= static_cast<uint8_t>(DocumentKind::kFleet);
  } else if (const Document* document = std::get_if<Document>(&frame)) {
    valid = document->kind <= static_cast<uint8_t>(DocumentKind::kFleet);
  } else if (const BodyPart* part = std::get_if<BodyPart>(&frame)) {
    valid = part->end <= static_cast<uint8_t>(BodyEnd::kBroken);
  }
  if (!valid) throw Error(Reason::kMalformed, "link frame field out of range");
}

// Returns null if the type of `frame` has no body.
std::string* MutableBody(Frame& frame) {
  if (Call* call = std::get_if<Call>(&frame)) return &call->body;
  if (Answer* answer = std::get_if<Answer>(&frame)) return &answer->body;
  if (BodyPart* part = std::get_if<BodyPart>(&frame)) return &part->bytes;
  return nullptr;
}

Frame DecodePayload(FrameType type, std::string_view payload,
                    const HeaderNames& names) {
  switch (type) {
    case FrameType::kHello:
      return Unpack<Hello>(payload, names);
    case FrameType::kState:
      return Unpack<State>(payload, names);
    case FrameType::kCall:
      return Unpack<Call>(payload, names);
    case FrameType::kCancel:
      return Unpack<Cancel>(payload, names);
    case FrameType::kAnswer:
      return Unpack<Answer>(payload, names);
    case FrameType::kDocumentRequest:
      return Unpack<DocumentRequest>(payload, names);
    case FrameType::kDocument:
      return Unpack<Document>(payload, names);
    case FrameType::kBodyPart:
      return Unpack<BodyPart>(payload, names);
    case FrameType::kCredit:
      return Unpack<Credit>(payload, names);
    case FrameType::kCrashReports:
      return Unpack<CrashReports>(payload, names);
  }
  throw Error(Reason::kMalformed, "link frame of unknown type");
}

}  // namespace

std::string Encode(const Frame& frame, const HeaderNames& names) {
  msgpack::sbuffer buffer(512);
  msgpack::packer<msgpack::sbuffer> out(buffer);
  std::visit(
      [&out, &names](const auto& m) {
        FieldPacker packer{out, names};
        // VisitFields takes a mutable reference because decoding needs one; the
        // packer only reads.
        VisitFields(packer, const_cast<std::decay_t<decltype(m)>&>(m));
      },
      frame);
  std::string head;
  head.reserve(buffer.size() + 1);
  head.push_back(static_cast<char>(frame.index()));
  head.append(buffer.data(), buffer.size());
  return head;
}

std::string_view BodyOf(const Frame& frame) {
  std::string* body = MutableBody(const_cast<Frame&>(frame));  // only read here
  return body == nullptr ? std::string_view() : std::string_view(*body);
}

Frame Decode(std::string_view head, std::string_view body,
             const HeaderNames& names) {
  if (head.empty()) throw Error(Reason::kMalformed, "link frame is empty");
  auto type = static_cast<unsigned char>(head[0]);
  if (type >= kFrameTypeCount) {
    throw Error(Reason::kMalformed, "link frame of unknown type");
  }
  try {
    Frame frame =
        DecodePayload(static_cast<FrameType>(type), head.substr(1), names);
    CheckRanges(frame);
    if (std::string* target = MutableBody(frame)) {
      target->assign(body);
    } else if (!body.empty()) {
      throw Error(Reason::kMalformed,
                  "link frame of a type without body has one");
    }
    return frame;
  } catch (const msgpack::unpack_error& e) {
    throw Error(Reason::kMalformed, e.what());
  } catch (const msgpack::type_error& e) {
    throw Error(Reason::kMalformed, e.what());
  }
}

}  // namespace almondwind::peers
