// HTTP message readers: the messages do not depend on how the bytes are split,
// and messages that two parsers could interpret differently are refused.

#define BOOST_TEST_MODULE http_reader
#include "almondwind/http/reader.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace almondwind::http {
namespace {

struct ReadResult {
  std::vector<std::string> messages;  // "METHOD TARGET BODY" or "STATUS BODY"
  ReadState last = ReadState::kPartial;

  bool operator==(const ReadResult& o) const {
    return messages == o.messages && last == o.last;
  }
};

ReadResult ReadRequests(const std::vector<std::string>& pieces,
                        ReaderOptions options = {}) {
  RequestReader reader(options);
  ReadResult result;
  for (const std::string& piece : pieces) {
    reader.Feed(piece);
    while ((result.last = reader.Next()) == ReadState::kComplete) {
      Request r = reader.Take();
      result.messages.push_back(r.method + " " + r.target + " " + r.body);
    }
    if (result.last != ReadState::kPartial) break;
  }
  return result;
}

ReadResult ReadResponses(const std::vector<std::string>& pieces) {
  ResponseReader reader({});
  ReadResult result;
  for (const std::string& piece : pieces) {
    reader.Feed(piece);
    while ((result.last = reader.Next(false)) == ReadState::kComplete) {
      Response r = reader.Take();
      result.messages.push_back(std::to_string(r.status) + " " + r.body);
    }
    if (result.last != ReadState::kPartial) break;
  }
  return result;
}

const std::string kPipelined =
    "GET /a?x=1 HTTP/1.1\r\nHost: h\r\n\r\n"
    "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello"
    "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    "3\r\nabc\r\n4;ext=1\r\ndefg\r\n0\r\nTrailer: t\r\n\r\n"
    "GET /d HTTP/1.1\r\nHost: h\r\n\r\n";

const std::string kResponses =
    "HTTP/1.1 100 Continue\r\n\r\n"
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
    "HTTP/1.1 204 No Content\r\n\r\n"
    "HTTP/1.1 500 Oops\r\nTransfer-Encoding: "
    "chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n";

}  // namespace

BOOST_AUTO_TEST_CASE(every_split_of_pipelined_requests_reads_alike) {
  ReadResult whole = ReadRequests({kPipelined});
  std::vector<std::string> expected = {"GET /a?x=1 ", "POST /b hello",
                                       "POST /c abcdefg", "GET /d "};
  BOOST_TEST(whole.messages == expected);
  for (size_t at = 0; at <= kPipelined.size(); ++at) {
    ReadResult split =
        ReadRequests({kPipelined.substr(0, at), kPipelined.substr(at)});
    BOOST_TEST((split == whole), "split at " << at);
  }
  std::vector<std::string> bytes;
  for (char c : kPipelined) bytes.emplace_back(1, c);
  BOOST_TEST((ReadRequests(bytes) == whole));
}

BOOST_AUTO_TEST_CASE(every_split_of_answers_reads_alike) {
  ReadResult whole = ReadResponses({kResponses});
  std::vector<std::string> expected = {"200 ok", "204 ", "500 x"};
  BOOST_TEST(whole.messages == expected);
  for (size_t at = 0; at <= kResponses.size(); ++at) {
    ReadResult split =
        ReadResponses({kResponses.substr(0, at), kResponses.substr(at)});
    BOOST_TEST((split == whole), "split at " << at);
  }
}

BOOST_AUTO_TEST_CASE(ambiguous_requests_are_refused) {
  struct Case {
    const char* name;
    const char* bytes;
  };
  const Case cases[] = {
      {"both lengths",
       "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
       "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
      {"both lengths, other order",
       "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
       "Content-Length: 3\r\n\r\n0\r\n\r\n"},
      {"two lengths",
       "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
       "Content-Length: 4\r\n\r\nabcd"},
      {"negative length",
       "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n"},
      {"length with a sign",
       "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\nabc"},
      {"coding other than chunked",
       "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n"},
      {"chunked is not last",
       "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked, x\r\n\r\n"},
      {"coding that looks like chunked",
       "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n"},
      {"two codings",
       "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
       "Transfer-Encoding: identity\r\n\r\n0\r\n\r\n"},
      {"chunked in HTTP/1.0",
       "POST / HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
       "0\r\n\r\n"},
      {"bad chunk size",
       "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
       "zz\r\nab\r\n0\r\n\r\n"},
      {"space before the colon",
       "POST / HTTP/1.1\r\nHost: h\r\nContent-Length : 3\r\n\r\nabc"},
      {"no host", "GET / HTTP/1.1\r\n\r\n"},
      {"two hosts", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n"},
      {"target in absolute form", "GET http://h/x HTTP/1.1\r\nHost: h\r\n\r\n"},
      {"bare line feeds", "GET / HTTP/1.1\nHost: h\n\n"},
      {"no request line", "\x16\x03\x01 nonsense\r\n\r\n"},
  };
  for (const Case& c : cases) {
    ReadResult result = ReadRequests({c.bytes});
    BOOST_TEST((result.last == ReadState::kMalformed), c.name);
    BOOST_TEST(result.messages.empty(), c.name);
  }
}

BOOST_AUTO_TEST_CASE(limits_are_told_apart) {
  ReaderOptions options{200, 10};
  std::string long_header =
      "GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(400, 'x') + "\r\n\r\n";
  BOOST_TEST((ReadRequests({long_header}, options).last ==
              ReadState::kHeaderTooLarge));
  std::string long_body =
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\nhello world";
  BOOST_TEST(
      (ReadRequests({long_body}, options).last == ReadState::kBodyTooLarge));
  std::string long_chunks =
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "8\r\nabcdefgh\r\n8\r\nabcdefgh\r\n0\r\n\r\n";
  BOOST_TEST(
      (ReadRequests({long_chunks}, options).last == ReadState::kBodyTooLarge));
}

// A peer may go on sending one part of the framing. What a reader holds must
// stay within the limit of a header.
BOOST_AUTO_TEST_CASE(framing_without_end_is_refused) {
  const std::string request =
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string response =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string pad(1000, 'x');
  for (const std::string& framing :
       {std::string("5;ext="), std::string("0\r\nTrailer: ")}) {
    std::vector<std::string> asked = {request + framing};
    std::vector<std::string> answered = {response + framing};
    for (int i = 0; i < 40; ++i) {
      asked.push_back(pad);
      answered.push_back(pad);
    }
    BOOST_TEST((ReadRequests(asked).last == ReadState::kMalformed), framing);
    BOOST_TEST((ReadResponses(answered).last == ReadState::kMalformed),
               framing);
  }
  std::vector<std::string> interim(40, "HTTP/1.1 100 Continue\r\n\r\n");
  BOOST_TEST((ReadResponses(interim).last == ReadState::kMalformed));
}

BOOST_AUTO_TEST_CASE(an_answer_that_ends_early_is_not_complete) {
  struct Case {
    const char* name;
    const char* bytes;
    ReadState end;
  };
  const Case cases[] = {
      {"short body", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc",
       ReadState::kMalformed},
      {"short chunk",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
       ReadState::kMalformed},
      {"no last chunk",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
       ReadState::kMalformed},
      {"half a header", "HTTP/1.1 200 OK\r\nContent-Le", ReadState::kMalformed},
      {"no bytes", "", ReadState::kPartial},
      {"no length: the end completes it", "HTTP/1.1 200 OK\r\n\r\nabc",
       ReadState::kComplete},
  };
  for (const Case& c : cases) {
    ResponseReader reader({});
    reader.Feed(c.bytes);
    BOOST_TEST((reader.FinishAtEof(false) == c.end), c.name);
  }
}

namespace {

// How a reader ends after all of `bytes` and an orderly close.
struct AnswerResult {
  ReadState last = ReadState::kPartial;
  std::string answer;  // "STATUS BODY" if one was read
};

AnswerResult ReadToEnd(const std::string& bytes, size_t step) {
  ResponseReader reader({16u << 10, 1u << 20, 0});
  AnswerResult result;
  for (size_t at = 0; at < bytes.size(); at += step) {
    reader.Feed(bytes.substr(at, step));
    result.last = reader.Next(false);
    if (result.last != ReadState::kPartial) break;
  }
  if (result.last == ReadState::kPartial) {
    result.last = reader.FinishAtEof(false);
  }
  if (result.last == ReadState::kComplete) {
    Response r = reader.Take();
    result.answer = std::to_string(r.status) + " " + r.body;
  }
  return result;
}

}  // namespace

// Failure: an answer with the status 000 was passed on to the client.
BOOST_AUTO_TEST_CASE(a_status_outside_100_to_599_is_refused) {
  const std::string rest = " X\r\nContent-Length: 2\r\n\r\nok";
  for (const char* status : {"000", "001", "099", "600", "999", "20", "2000",
                             "-20", "+20", "20x", " 200", "0x1", "2 0"}) {
    std::string bytes = std::string("HTTP/1.1 ") + status + rest;
    for (size_t step : {bytes.size(), size_t{1}}) {
      AnswerResult result = ReadToEnd(bytes, step);
      BOOST_TEST((result.last == ReadState::kMalformed), status);
      BOOST_TEST(result.answer.empty(), status);
    }
  }
  // Also one that follows an interim answer.
  BOOST_TEST(
      (ReadToEnd("HTTP/1.1 100 C\r\n\r\nHTTP/1.1 000" + rest, 1000).last ==
       ReadState::kMalformed));
  for (const char* status : {"200", "299", "418", "503", "599"}) {
    std::string bytes = std::string("HTTP/1.1 ") + status + rest;
    BOOST_TEST(ReadToEnd(bytes, 1).answer == std::string(status) + " ok");
  }
}

// Failure: an answer whose head held a blank or a control byte in the name of a
// field was passed on, with that line or with a body that was not the server's:
// a length on a line that began with a blank was joined to the field before.
BOOST_AUTO_TEST_CASE(a_field_name_with_a_blank_or_control_byte_is_refused) {
  const std::string lines[] = {
      "X: 1\r\n Content-Length: 2",
      "X: 1\r\n\tContent-Length: 2",
      "X: 1\r\n Y: 2\r\nContent-Length: 2",
      "Content-Length: 2\r\n X: 1",
      "X:\r\n 1\r\nContent-Length: 2",
      "X: 1\r\n \r\nContent-Length: 2",
      " Content-Length: 2",
      "\tContent-Length: 2",
      "Content-Length : 2",
      "Content-Length\t: 2",
      "Content Length: 2",
      "Content\tLength: 2",
      "X Y: 1\r\nContent-Length: 2",
      std::string("X\0Y: 1\r\nContent-Length: 2", 25),
      "X\x01Y: 1\r\nContent-Length: 2",
      "X\x7fY: 1\r\nContent-Length: 2",
      "X\xe9Y: 1\r\nContent-Length: 2",
      "X\rY: 1\r\nContent-Length: 2",
      "X\nY: 1\r\nContent-Length: 2",
      ": 1\r\nContent-Length: 2",
      "X\r\nContent-Length: 2",
  };
  for (const std::string& line : lines) {
    std::string bytes = "HTTP/1.1 200 OK\r\n" + line + "\r\n\r\nok";
    for (size_t step : {bytes.size(), size_t{1}}) {
      AnswerResult result = ReadToEnd(bytes, step);
      BOOST_TEST((result.last == ReadState::kMalformed), line);
      BOOST_TEST(result.answer.empty(), line);
    }
  }
  BOOST_TEST(ReadToEnd("HTTP/1.1 200 OK\r\nX-1: a b\t c\r\nY:\r\nZ: \r\n"
                       "Content-Length: 2\r\n\r\nok",
                       1)
                 .answer == "200 ok");
}

// Answers that were refused before the two failures above were found.
BOOST_AUTO_TEST_CASE(other_heads_and_framings_that_are_no_answer_are_refused) {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string length = "Content-Length: 2\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  const std::string answers[] = {
      ok + "X: a\x01\r\n" + length + "\r\nok",
      "HTTP/1.1 200 O\x01K\r\n" + length + "\r\nok",
      "HTTP/1.1 200 OK\nContent-Length: 2\n\nok",
      ok + length + "Content-Length: 3\r\n\r\nok",
      ok + "Content-Length: 2, 3\r\n\r\nok",
      ok + "Content-Length: +2\r\n\r\nok",
      ok + length + chunked + "\r\n2\r\nok\r\n0\r\n\r\n",
      "HTTP/1.2 200 OK\r\n" + length + "\r\nok",
      ok + chunked + "\r\n2\r\nok\r\n0\r\nX Y: 1\r\n\r\n",
      ok + chunked + "\r\n2\r\nokk\r\n0\r\n\r\n",
  };
  for (const std::string& bytes : answers) {
    AnswerResult result = ReadToEnd(bytes, bytes.size());
    BOOST_TEST((result.last == ReadState::kMalformed), bytes);
  }
  // One value, twice, is one length (RFC 9110, 8.6).
  BOOST_TEST(ReadToEnd("HTTP/1.1 200 OK\r\nContent-Length: 2, 2\r\n\r\nok", 1)
                 .answer == "200 ok");
}

BOOST_AUTO_TEST_CASE(an_answer_to_head_has_no_body) {
  ResponseReader reader({});
  reader.Feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");
  BOOST_TEST((reader.Next(true) == ReadState::kComplete));
  BOOST_TEST(reader.Take().body.empty());
}

BOOST_AUTO_TEST_CASE(bytes_behind_an_answer_are_seen) {
  ResponseReader reader({});
  reader.Feed("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nxEXTRA");
  BOOST_TEST((reader.Next(false) == ReadState::kComplete));
  reader.Take();
  BOOST_TEST(reader.in_message());
}

BOOST_AUTO_TEST_CASE(connection_fields_are_removed) {
  Headers headers;
  headers.Add("Connection", "keep-alive, X-Hop");
  headers.Add("X-Hop", "1");
  headers.Add("Transfer-Encoding", "chunked");
  headers.Add("Content-Length", "3");
  headers.Add("Keep-Alive", "timeout=5");
  headers.Add("X-End", "2");
  headers.RemoveConnectionFields();
  BOOST_TEST(headers.fields().size() == 1U);
  BOOST_TEST(*headers.Find("x-end") == "2");
}

// A streamed body has the same bytes as a buffered one, however the input is
// split, and the message that follows it is read.
BOOST_AUTO_TEST_CASE(large_bodies_come_in_parts) {
  std::string body(1000, 'x');
  for (size_t i = 0; i < body.size(); ++i) {
    body[i] = static_cast<char>('a' + i % 26);
  }
  const std::string head = "POST /b HTTP/1.1\r\nHost: h\r\n";
  const std::string chunked = head +
                              "Transfer-Encoding: chunked\r\n\r\n3e8\r\n" +
                              body + "\r\n0\r\n\r\n";
  const std::string plain = head + "Content-Length: 1000\r\n\r\n" + body;
  const std::string next = "GET /n HTTP/1.1\r\nHost: h\r\n\r\n";
  for (const std::string& first : {plain, chunked}) {
    for (size_t step : {1, 7, 100, 333}) {
      RequestReader reader({4096, 4096, 100});
      std::string got;
      std::vector<std::string> targets;
      const std::string bytes = first + next;
      for (size_t at = 0; at < bytes.size(); at += step) {
        reader.Feed(bytes.substr(at, step));
        for (bool more = true; more;) {
          ReadState state = reader.Next();
          bool in_body = reader.in_body();
          if (state == ReadState::kBodyFollows ||
              (!in_body && state == ReadState::kComplete)) {
            Request request = reader.Take();
            targets.push_back(request.target);
            got += request.body;
            if (state != ReadState::kBodyFollows) continue;
            BOOST_TEST(request.rest.follows);
            BOOST_TEST(request.rest.length.has_value() == (first == plain));
          } else if (in_body) {
            got += reader.TakeBody();
            more = state == ReadState::kComplete;
            if (more) reader.EndBody();
          } else {
            BOOST_TEST((state == ReadState::kPartial));
            more = false;
          }
        }
      }
      BOOST_TEST(got == body);
      BOOST_TEST(targets == (std::vector<std::string>{"/b", "/n"}),
                 boost::test_tools::per_element());
    }
  }
}

}  // namespace almondwind::http
