// HTTP/1.1 requests and answers as values.
//
// Framing (lengths, chunks) belongs to one connection and is taken off by the
// reader and put on by the writer. A body is whole, or its first part is there
// and the rest follows in parts.
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

// Compares ASCII text without regard to case.
bool EqualNoCase(std::string_view a, std::string_view b);

// Header fields in the order received. Look-ups are linear: messages have a
// dozen fields.
class Headers {
 public:
  // Returns the first value of `name`, or null.
  const std::string* Find(std::string_view name) const;
  size_t Count(std::string_view name) const;
  void Add(std::string_view name, std::string_view value) {
    fields_.push_back({std::string(name), std::string(value)});
  }
  void Remove(std::string_view name);
  // Removes what concerns one connection only: the standard fields and those
  // that Connection names (RFC 9110, 7.6.1). Also the framing fields.
  void RemoveConnectionFields();
  // Whether the comma-separated list `name` holds `token`.
  bool HasToken(std::string_view name, std::string_view token) const;

  const std::vector<Header>& fields() const { return fields_; }
  std::vector<Header>& fields() { return fields_; }

 private:
  std::vector<Header> fields_;
};

// What is to come of a message whose `body` is not all of it.
struct BodyRest {
  bool follows = false;
  // Bytes of the whole body, where its sender has announced them.
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

// Appends the wire form of `request`, with a Content-Length where it has or
// may have a body. Where the rest of the body follows, it is to be appended by
// AppendBodyPart and AppendBodyEnd.
void Append(const Request& request, std::string& out);

// Appends the wire form of `response`. `to_head`: it answers a HEAD request,
// so its body stays away.
void Append(const Response& response, bool to_head, std::string& out);

// Appends a part of a body whose message was appended with `rest`.
void AppendBodyPart(const BodyRest& rest, std::string_view part,
                    std::string& out);
void AppendBodyEnd(const BodyRest& rest, std::string& out);

// Returns the decoded value of `name` in the query of `target`; empty: none.
std::string QueryValue(std::string_view target, std::string_view name);

// Returns the standard reason phrase of `status`.
std::string ReasonPhrase(int status);

}  // namespace almondwind::http

#endif  // ALMONDWIND_HTTP_MESSAGE_H_
