#include "almondwind/http/reader.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <utility>

namespace almondwind::http {
namespace {

namespace beast = boost::beast;
using beast::error_code;
using BeastView = beast::string_view;

// Limits the memory reserved for an announced Content-Length. A larger body
// grows as its bytes arrive, so that the header alone cannot claim memory.
constexpr uint64_t kMaxReserveBytes = 64u << 10;
// A server sends one or two interim responses (1xx) before a final one.
constexpr int kMaxInterimResponses = 16;

std::string ToString(BeastView view) { return {view.data(), view.size()}; }

ReadState StateFromError(const error_code& ec) {
  if (ec == beast::http::error::header_limit) {
    return ReadState::kHeaderTooLarge;
  }
  if (ec == beast::http::error::body_limit) return ReadState::kBodyTooLarge;
  return ReadState::kMalformed;
}

// Whether `code` is a status of HTTP (RFC 9110, 15). Beast takes any three
// digits.
bool IsStatus(int code) { return code >= 100 && code <= 599; }

bool HasOnlyChunkedCoding(const Headers& headers) {
  const std::string* encoding = headers.Find("Transfer-Encoding");
  return encoding == nullptr || (headers.Count("Transfer-Encoding") == 1 &&
                                 EqualNoCase(*encoding, "chunked"));
}

// Looks for a line of a head that begins with a space or a tab (obs-fold in RFC
// 9112, 5.2). Beast joins such a line to the value of the field before, while
// other parsers may take it for a field of its own.
class FoldedLineDetector {
 public:
  // Scans the next bytes of the message; those after its head are ignored.
  void Scan(std::string_view bytes) {
    for (char c : bytes) {
      if (head_ended_) return;
      if (line_start_ && (c == ' ' || c == '\t')) found_ = true;
      if (line_start_ && c == '\r') head_ended_ = true;
      line_start_ = previous_ == '\r' && c == '\n';
      previous_ = c;
    }
  }
  bool found() const { return found_; }

 private:
  char previous_ = '\0';
  bool line_start_ = false;  // of any line but the first
  bool head_ended_ = false;
  bool found_ = false;
};

// Builds one message from the callbacks of Beast's parser.
template <bool kRequest, typename Message>
class Collector : public beast::http::basic_parser<kRequest> {
 public:
  explicit Collector(const ReaderOptions& options) {
    this->header_limit(options.max_header_bytes);
    this->body_limit(options.max_body_bytes);
    this->eager(true);
  }

  Message message;
  bool header_done = false;

  // Whether the body received so far is so large that the message must be
  // streamed. A threshold of 0 means never.
  bool BodyExceeds(size_t threshold_bytes) const {
    return threshold_bytes != 0 && header_done &&
           message.body.size() > threshold_bytes;
  }

  // Returns the header and the first part of a streamed body.
  Message TakeHead() {
    Message head = std::move(message);
    message = Message();
    head.rest.follows = true;
    head.rest.length = content_length_;
    return head;
  }

  // Parses `buffer` and removes the parsed bytes from its front. Returns
  // whether the message is complete.
  bool Parse(std::string& buffer, error_code& ec) {
    if (!kRequest && !header_done) {
      folded_lines_.Scan(std::string_view(buffer).substr(scanned_));
      scanned_ = buffer.size();
    }
    size_t consumed = 0;
    // is_done() stays false for a body without a length, which ends only with
    // its connection.
    while (!this->is_done() && consumed < buffer.size()) {
      size_t parsed = this->put(boost::asio::buffer(buffer.data() + consumed,
                                                    buffer.size() - consumed),
                                ec);
      consumed += parsed;
      if (ec == beast::http::error::need_more) {
        ec = {};
        if (parsed == 0) break;
      }
      if (ec) break;
    }
    buffer.erase(0, consumed);
    scanned_ = buffer.size();
    return !ec && this->is_done();
  }

 protected:
  void on_request_impl(beast::http::verb, BeastView method, BeastView target,
                       int version, error_code&) override {
    if constexpr (kRequest) {
      message.method = ToString(method);
      message.target = ToString(target);
      http10_ = version < 11;
    }
  }
  void on_response_impl(int code, BeastView reason, int version,
                        error_code& ec) override {
    if constexpr (!kRequest) {
      if (!IsStatus(code)) ec = beast::http::error::bad_status;
      message.status = code;
      message.reason = ToString(reason);
      http10_ = version < 11;
    }
  }
  void on_field_impl(beast::http::field, BeastView name, BeastView value,
                     error_code&) override {
    if (header_done) return;  // trailers are dropped
    message.headers.Add({name.data(), name.size()},
                        {value.data(), value.size()});
  }
  void on_header_impl(error_code& ec) override {
    header_done = true;
    message.keep_alive = this->keep_alive();
    bool encoded = message.headers.Find("Transfer-Encoding") != nullptr;
    bool valid = HasOnlyChunkedCoding(message.headers) &&
                 !(encoded && http10_) && !folded_lines_.found();
    if constexpr (kRequest) {
      valid = valid && message.headers.Count("Host") == 1 &&
              !message.target.empty() && message.target[0] == '/';
    }
    if (!valid) ec = beast::http::error::bad_transfer_encoding;
  }
  void on_body_init_impl(const boost::optional<std::uint64_t>& length,
                         error_code&) override {
    if (length) {
      content_length_ = *length;
      message.body.reserve(
          static_cast<size_t>(std::min<uint64_t>(*length, kMaxReserveBytes)));
    }
  }
  size_t on_body_impl(BeastView body, error_code&) override {
    message.body.append(body.data(), body.size());
    return body.size();
  }
  void on_chunk_header_impl(std::uint64_t, BeastView, error_code&) override {}
  size_t on_chunk_body_impl(std::uint64_t, BeastView body,
                            error_code&) override {
    message.body.append(body.data(), body.size());
    return body.size();
  }
  void on_finish_impl(error_code&) override {}

 private:
  bool http10_ = false;
  std::optional<uint64_t> content_length_;
  FoldedLineDetector folded_lines_;
  size_t scanned_ = 0;  // bytes at the front of the buffer, by folded_lines_
};

}  // namespace

class RequestReader::Parser : public Collector<true, Request> {
  using Collector::Collector;
};
class ResponseReader::Parser : public Collector<false, Response> {
  using Collector::Collector;
};

RequestReader::RequestReader(const ReaderOptions& options)
    : options_(options) {}
RequestReader::~RequestReader() = default;

ReadState RequestReader::Next() {
  if (complete_) return ReadState::kComplete;
  if (parser_ == nullptr) {
    // Blank lines between messages are allowed (RFC 9112, 2.2).
    while (buffer_.compare(0, 2, "\r\n") == 0) buffer_.erase(0, 2);
    if (buffer_.empty()) return ReadState::kPartial;
    parser_ = std::make_unique<Parser>(options_);
    continue_sent_ = false;
  }
  error_code ec;
  complete_ = parser_->Parse(buffer_, ec);
  if (ec) return StateFromError(ec);
  if (complete_) return ReadState::kComplete;
  // Only a head, the extension of a chunk or a trailer stays unparsed.
  if (buffer_.size() > options_.max_header_bytes) {
    return parser_->header_done ? ReadState::kMalformed
                                : ReadState::kHeaderTooLarge;
  }
  bool streamed =
      !in_body_ && parser_->BodyExceeds(options_.streaming_threshold_bytes);
  return streamed ? ReadState::kBodyFollows : ReadState::kPartial;
}

Request RequestReader::Take() {
  if (!complete_) {
    in_body_ = true;
    return parser_->TakeHead();
  }
  Request request = std::move(parser_->message);
  parser_.reset();
  complete_ = false;
  return request;
}

std::string RequestReader::TakeBody() {
  return std::exchange(parser_->message.body, std::string());
}

void RequestReader::EndBody() {
  parser_.reset();
  complete_ = false;
  in_body_ = false;
}

bool RequestReader::in_message() const {
  return parser_ != nullptr || !buffer_.empty();
}

bool RequestReader::in_header() const {
  return in_message() && (parser_ == nullptr || !parser_->header_done);
}

bool RequestReader::TakeExpectContinue() {
  if (parser_ == nullptr || !parser_->header_done || continue_sent_) {
    return false;
  }
  const std::string* expect = parser_->message.headers.Find("Expect");
  if (expect == nullptr || !EqualNoCase(*expect, "100-continue")) return false;
  continue_sent_ = true;
  return true;
}

ResponseReader::ResponseReader(const ReaderOptions& options)
    : options_(options) {}
ResponseReader::~ResponseReader() = default;

ReadState ResponseReader::Next(bool to_head) {
  while (!complete_) {
    if (parser_ == nullptr) {
      if (buffer_.empty()) return ReadState::kPartial;
      parser_ = std::make_unique<Parser>(options_);
      parser_->skip(to_head);
    }
    error_code ec;
    complete_ = parser_->Parse(buffer_, ec);
    if (ec) return StateFromError(ec);
    if (!complete_) {
      if (buffer_.size() > options_.max_header_bytes) {
        return parser_->header_done ? ReadState::kMalformed
                                    : ReadState::kHeaderTooLarge;
      }
      bool streamed =
          !in_body_ && parser_->BodyExceeds(options_.streaming_threshold_bytes);
      return streamed ? ReadState::kBodyFollows : ReadState::kPartial;
    }
    if (!in_body_ && parser_->message.status / 100 == 1) {
      if (++interim_responses_ > kMaxInterimResponses) {
        return ReadState::kMalformed;
      }
      parser_.reset();
      complete_ = false;
    }
  }
  return ReadState::kComplete;
}

ReadState ResponseReader::FinishAtEof(bool to_head) {
  ReadState state = Next(to_head);
  if (state != ReadState::kPartial || parser_ == nullptr) return state;
  if (!parser_->header_done) return ReadState::kMalformed;
  error_code ec;
  parser_->put_eof(ec);
  if (ec) return ReadState::kMalformed;
  complete_ = parser_->is_done();
  return complete_ ? ReadState::kComplete : ReadState::kMalformed;
}

Response ResponseReader::Take() {
  interim_responses_ = 0;
  if (!complete_) {
    in_body_ = true;
    return parser_->TakeHead();
  }
  Response response = std::move(parser_->message);
  parser_.reset();
  complete_ = false;
  return response;
}

std::string ResponseReader::TakeBody() {
  return std::exchange(parser_->message.body, std::string());
}

void ResponseReader::EndBody() {
  parser_.reset();
  complete_ = false;
  in_body_ = false;
}

void ResponseReader::Reset() {
  buffer_.clear();
  EndBody();
}

bool ResponseReader::in_message() const {
  return parser_ != nullptr || !buffer_.empty();
}

}  // namespace almondwind::http
