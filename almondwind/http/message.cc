#include "almondwind/http/message.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>
#include <charconv>
#include <cstdio>
#include <ostream>  // Beast's headers use it

namespace almondwind::http {
namespace {

namespace beast = boost::beast;

constexpr std::array<std::string_view, 9> kConnectionFields = {
    "Connection", "Keep-Alive",     "Proxy-Connection",
    "TE",         "Trailer",        "Transfer-Encoding",
    "Upgrade",    "Content-Length", "Proxy-Authenticate"};

beast::string_view ToBeastView(std::string_view text) {
  return {text.data(), text.size()};
}

void AppendFields(const Headers& headers, std::string& out) {
  for (const Header& field : headers.fields()) {
    out.append(field.name).append(": ").append(field.value).append("\r\n");
  }
}

void AppendContentLength(uint64_t length, std::string& out) {
  out.append("Content-Length: ").append(std::to_string(length)).append("\r\n");
}

// Appends the framing field of a streamed body.
void AppendFramingFields(const BodyRest& rest, std::string& out) {
  if (rest.length) return AppendContentLength(*rest.length, out);
  out.append("Transfer-Encoding: chunked\r\n");
}

// Whether an empty body of a request with this method is announced by
// "Content-Length: 0".
bool MayHaveBody(std::string_view method) {
  return method != "GET" && method != "HEAD" && method != "DELETE" &&
         method != "OPTIONS" && method != "TRACE";
}

// Decodes %XX sequences. Copies a '%' without two hexadecimal digits unchanged.
std::string PercentDecode(std::string_view text) {
  std::string out;
  for (size_t i = 0; i < text.size(); ++i) {
    unsigned value = 0;
    const char* digits = text.data() + i + 1;
    bool escaped =
        text[i] == '%' && i + 2 < text.size() &&
        std::from_chars(digits, digits + 2, value, 16).ptr == digits + 2;
    out.push_back(escaped ? static_cast<char>(value) : text[i]);
    if (escaped) i += 2;
  }
  return out;
}

bool HasNoBody(int status) {
  return status / 100 == 1 || status == 204 || status == 304;
}

}  // namespace

bool EqualNoCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() && beast::iequals(ToBeastView(a), ToBeastView(b));
}

const std::string* Headers::Find(std::string_view name) const {
  for (const Header& field : fields_) {
    if (EqualNoCase(field.name, name)) return &field.value;
  }
  return nullptr;
}

size_t Headers::Count(std::string_view name) const {
  return static_cast<size_t>(std::count_if(
      fields_.begin(), fields_.end(),
      [name](const Header& f) { return EqualNoCase(f.name, name); }));
}

void Headers::Remove(std::string_view name) {
  fields_.erase(std::remove_if(fields_.begin(), fields_.end(),
                               [name](const Header& f) {
                                 return EqualNoCase(f.name, name);
                               }),
                fields_.end());
}

void Headers::RemoveConnectionFields() {
  std::vector<std::string> named;
  for (const Header& field : fields_) {
    if (!EqualNoCase(field.name, "Connection")) continue;
    for (beast::string_view token :
         beast::http::token_list(ToBeastView(field.value))) {
      named.emplace_back(token.data(), token.size());
    }
  }
  for (std::string_view name : kConnectionFields) Remove(name);
  for (const std::string& name : named) Remove(name);
}

bool Headers::HasToken(std::string_view name, std::string_view token) const {
  for (const Header& field : fields_) {
    if (!EqualNoCase(field.name, name)) continue;
    beast::http::token_list list(ToBeastView(field.value));
    if (list.exists(ToBeastView(token))) return true;
  }
  return false;
}

void Append(const Request& request, std::string& out) {
  out.append(request.method).append(" ").append(request.target);
  out.append(" HTTP/1.1\r\n");
  AppendFields(request.headers, out);
  if (request.rest.follows) {
    AppendFramingFields(request.rest, out);
    out.append("\r\n");
    return AppendBodyPart(request.rest, request.body, out);
  }
  if (!request.body.empty() || MayHaveBody(request.method)) {
    AppendContentLength(request.body.size(), out);
  }
  out.append("\r\n").append(request.body);
}

void Append(const Response& response, bool to_head, std::string& out) {
  out.append("HTTP/1.1 ").append(std::to_string(response.status));
  out.append(" ").append(response.reason).append("\r\n");
  AppendFields(response.headers, out);
  if (!response.keep_alive) out.append("Connection: close\r\n");
  if (response.rest.follows) {
    AppendFramingFields(response.rest, out);
    out.append("\r\n");
    return AppendBodyPart(response.rest, response.body, out);
  }
  if (!HasNoBody(response.status)) {
    AppendContentLength(response.body.size(), out);
  }
  out.append("\r\n");
  if (!to_head && !HasNoBody(response.status)) out.append(response.body);
}

void AppendBodyPart(const BodyRest& rest, std::string_view part,
                    std::string& out) {
  if (part.empty()) return;  // an empty chunk would end a chunked body
  if (rest.length) {
    out.append(part);
    return;
  }
  std::array<char, 20> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", part.size());
  out.append(size.data()).append(part).append("\r\n");
}

void AppendBodyEnd(const BodyRest& rest, std::string& out) {
  if (!rest.length) out.append("0\r\n\r\n");
}

std::string QueryValue(std::string_view target, std::string_view name) {
  size_t at = target.find('?');
  while (at != std::string_view::npos) {
    std::string_view rest = target.substr(at + 1);
    std::string_view pair = rest.substr(0, rest.find('&'));
    size_t equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
      return PercentDecode(pair.substr(equals + 1));
    }
    at = target.find('&', at + 1);
  }
  return {};
}

std::string ReasonPhrase(int status) {
  auto phrase = beast::http::obsolete_reason(
      beast::http::int_to_status(static_cast<unsigned>(status)));
  return {phrase.data(), phrase.size()};
}

}  // namespace almondwind::http
