// Incremental reading of HTTP/1.1 messages from the bytes of a connection.
//
// A reader is fed bytes as they come, split anywhere, and gives out whole
// messages in order. Parsing is Boost.Beast's; on top of it a reader refuses
// what lets two parsers see different messages (request smuggling): a
// Transfer-Encoding other than "chunked", one in HTTP/1.0, a missing or
// doubled Host, a target that is no path.
//
//   reader.Feed(bytes);
//   while (reader.Next() == ReadState::kComplete) Use(reader.Take());
//
// A body of more than ReaderOptions::streaming_threshold_bytes comes in parts:
//
//   if (reader.Next() == ReadState::kBodyFollows) Use(reader.Take());  // rest
//   follows ReadState state = reader.Next();      // kPartial, kComplete or an
//   error Use(reader.TakeBody());               // after each Next if (state ==
//   ReadState::kComplete) reader.EndBody();
//
// Bounds: ReaderOptions. Cost: one copy of header and body.
#ifndef ALMONDWIND_HTTP_READER_H_
#define ALMONDWIND_HTTP_READER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "almondwind/http/message.h"

namespace almondwind::http {

enum class ReadState : uint8_t {
  kPartial,         // more bytes are needed
  kComplete,        // Take has a message; of a large one, all has been read
  kBodyFollows,     // Take has a message whose body goes on
  kMalformed,       // the rest of the connection cannot be read
  kHeaderTooLarge,  // over ReaderOptions::max_header_bytes
  kBodyTooLarge     // over ReaderOptions::max_body_bytes
};

struct ReaderOptions {
  uint32_t max_header_bytes = 16u << 10;
  uint64_t max_body_bytes = 64u << 20;
  // Bodies beyond this come in parts; 0: none does.
  size_t streaming_threshold_bytes = 0;
};

class RequestReader {
 public:
  explicit RequestReader(const ReaderOptions& options);
  ~RequestReader();

  void Feed(std::string_view bytes) { buffer_.append(bytes); }
  // Parses on. After kComplete, Take must be called before the next Next.
  ReadState Next();
  Request Take();
  // Bytes of a large message's body that came since Take or the last TakeBody.
  std::string TakeBody();
  // After kComplete of a large message: the next message may be read.
  void EndBody();
  // Whether a large message is being read whose head has been taken.
  bool in_body() const { return in_body_; }

  // Whether bytes of a message that is not complete have been fed.
  bool in_message() const;
  // Whether the header of the message in progress is still to come.
  bool in_header() const;
  // Whether the message in progress waits for the client's body before an
  // interim answer "100 Continue" (once a message).
  bool TakeExpectContinue();
  // Bytes held.
  size_t buffered() const { return buffer_.size(); }
  void Configure(const ReaderOptions& options) { options_ = options; }

 private:
  class Parser;

  ReaderOptions options_;
  std::string buffer_;
  std::unique_ptr<Parser> parser_;
  bool complete_ = false;
  bool in_body_ = false;
  bool continue_sent_ = false;
};

class ResponseReader {
 public:
  explicit ResponseReader(const ReaderOptions& options);
  ~ResponseReader();

  void Feed(std::string_view bytes) { buffer_.append(bytes); }
  // `to_head`: the next message answers a HEAD request. Interim answers (1xx)
  // are skipped.
  ReadState Next(bool to_head);
  // The connection ended in order: completes a message without a length.
  ReadState FinishAtEof(bool to_head);
  Response Take();
  // As for requests.
  std::string TakeBody();
  void EndBody();
  bool in_body() const { return in_body_; }
  // Forgets all that was fed; for another connection.
  void Reset();

  // Whether any byte of the message in progress, or beyond the last complete
  // one, has been fed.
  bool in_message() const;

 private:
  class Parser;

  ReaderOptions options_;
  std::string buffer_;
  std::unique_ptr<Parser> parser_;
  bool complete_ = false;
  bool in_body_ = false;
};

}  // namespace almondwind::http

#endif  // ALMONDWIND_HTTP_READER_H_
