// HTTP/1.1 requests and responses as values, and their serialization.
//
// Messages carry no framing: RequestReader and ResponseReader decode lengths
// and chunks, and Append adds framing for the connection that it writes to. A
// message holds its complete body, or, for a streamed body, the first part of
// it; the remaining parts are then passed separately.
#ifndef ALMONDWIND_HTTP_MESSAGE_H_
#define ALMONDWIND_HTTP_MESSAGE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace almondwind::http {

struct Header {
  std::string name;
  std::string value;
};

// Compares ASCII strings ignoring case.
bool EqualNoCase(std::string_view a, std::string_view b);

// Header fields in the order received. Lookups are linear, since messages have
// about a dozen fields. Names are compared ignoring case.
class Headers {
 public:
  // Returns the first value of `name`, or null.
  const std::string* Find(std::string_view name) const;
  size_t Count(std::string_view name) const;
  void Add(std::string_view name, std::string_view value) {
    fields_.push_back({std::string(name), std::string(value)});
  }
  void Remove(std::string_view name);
  // Removes the hop-by-hop fields, which are the standard ones and those listed
  // in Connection (RFC 9110, 7.6.1), and the framing fields.
  void RemoveConnectionFields();
  // Whether the comma-separated values of the field `name` include `token`.
  bool HasToken(std::string_view name, std::string_view token) const;

  const std::vector<Header>& fields() const { return fields_; }
  std::vector<Header>& fields() { return fields_; }

 private:
  std::vector<Header> fields_;
};

// The part of a streamed body that is not in the message's `body`.
struct BodyRest {
  bool follows = false;  // false: `body` is complete
  // Size of the complete body in bytes, if its sender announced it.
  std::optional<uint64_t> length;
};

struct Request {
  std::string method;
  std::string target;  // as received: path and query
  bool keep_alive = true;
  Headers headers;
  std::string body;
  BodyRest rest;

  // The target without its query.
  std::string_view path() const {
    return std::string_view(target).substr(0, target.find('?'));
  }
};

struct Response {
  int status = 0;
  std::string reason;
  bool keep_alive = true;
  Headers headers;
  std::string body;
  BodyRest rest;
};

// Appends the wire form of `request`, with a Content-Length if it has a body or
// its method usually has one. If `rest.follows`, the caller appends the rest of
// the body by AppendBodyPart and AppendBodyEnd.
void Append(const Request& request, std::string& out);

// Appends the wire form of `response`. With `to_head`, the response answers a
// HEAD request and its body is omitted.
void Append(const Response& response, bool to_head, std::string& out);

// Append a part of a streamed body, and its end. `rest` is that of the message
// that was appended before.
void AppendBodyPart(const BodyRest& rest, std::string_view part,
                    std::string& out);
void AppendBodyEnd(const BodyRest& rest, std::string& out);

// Returns the percent-decoded value of the parameter `name` in the query of
// `target`, or an empty string if there is none.
std::string QueryValue(std::string_view target, std::string_view name);

// Returns the standard reason phrase of `status`.
std::string ReasonPhrase(int status);

}  // namespace almondwind::http

#endif  // ALMONDWIND_HTTP_MESSAGE_H_
