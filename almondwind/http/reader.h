// Incremental parsers of HTTP/1.1 messages on one connection.
//
// A reader accepts bytes as they arrive, split at any point, and returns
// messages in order. It parses with Boost.Beast and also refuses messages that
// another parser could interpret differently (request smuggling): a
// Transfer-Encoding other than "chunked", a Transfer-Encoding in HTTP/1.0, a
// missing or repeated Host, and a request target that does not start with '/'.
// Of a response it refuses a status outside 100 to 599 and a head with a line
// that begins with a blank.
//
//   reader.Feed(bytes);
//   while (reader.Next() == ReadState::kComplete) Use(reader.Take());
//
// A body larger than ReaderOptions::streaming_threshold_bytes is streamed. Take
// returns the header with the first part of the body, and later calls of Next
// read the rest. To read such a message to its end:
//
//   if (reader.Next() == ReadState::kBodyFollows) {
//     Use(reader.Take());  // its rest.follows is set
//   }
//   // Then, after each Feed:
//   ReadState state = reader.Next();  // kPartial, kComplete or an error
//   Use(reader.TakeBody());
//   if (state == ReadState::kComplete) reader.EndBody();
//
// Bounds: ReaderOptions; the extension of a chunk and the trailers are bounded
// like a header. Cost: header and body are copied once.
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
  kComplete,        // Take has a message, or a streamed body has ended
  kBodyFollows,     // Take has the first part of a message to be streamed
  kMalformed,       // nothing further can be read from the connection
  kHeaderTooLarge,  // over ReaderOptions::max_header_bytes
  kBodyTooLarge     // over ReaderOptions::max_body_bytes
};

struct ReaderOptions {
  uint32_t max_header_bytes = 16u << 10;
  uint64_t max_body_bytes = 64u << 20;
  // Larger bodies are streamed; 0 turns streaming off.
  size_t streaming_threshold_bytes = 0;
};

class RequestReader {
 public:
  explicit RequestReader(const ReaderOptions& options);
  ~RequestReader();

  void Feed(std::string_view bytes) { buffer_.append(bytes); }
  // Parses the bytes fed so far. After kComplete, call Take, or EndBody for a
  // streamed body, before the next message can be read.
  ReadState Next();
  Request Take();
  // Returns the bytes of a streamed body that arrived since Take or the last
  // TakeBody.
  std::string TakeBody();
  // Ends a streamed message after kComplete, so that Next reads the next one.
  void EndBody();
  // Whether Take has returned the first part of a streamed message that has not
  // been ended by EndBody.
  bool in_body() const { return in_body_; }

  // Whether bytes have been fed that belong to a message not yet taken or
  // ended.
  bool in_message() const;
  // Whether the header of the message in progress is incomplete.
  bool in_header() const;
  // Returns whether the client of the message in progress expects a
  // "100 Continue" before it sends the body. True at most once per message.
  bool TakeExpectContinue();
  // Bytes fed that have not been parsed.
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
  // Parses the bytes fed so far. With `to_head`, the next message answers a
  // HEAD request and has no body. Interim responses (1xx) are skipped; too many
  // of them before one message are kMalformed.
  ReadState Next(bool to_head);
  // As Next, after an orderly close of the connection, which ends the body of a
  // message without a length. Other unfinished messages are kMalformed.
  ReadState FinishAtEof(bool to_head);
  Response Take();
  // As in RequestReader.
  std::string TakeBody();
  void EndBody();
  bool in_body() const { return in_body_; }
  // Discards all bytes fed, so that the reader can be used for another
  // connection.
  void Reset();

  // Whether bytes have been fed that belong to a message not yet taken or
  // ended, including unexpected bytes after the last message.
  bool in_message() const;

 private:
  class Parser;

  ReaderOptions options_;
  std::string buffer_;
  std::unique_ptr<Parser> parser_;
  bool complete_ = false;
  bool in_body_ = false;
  int interim_responses_ = 0;  // before the message in progress
};

}  // namespace almondwind::http

#endif  // ALMONDWIND_HTTP_READER_H_
