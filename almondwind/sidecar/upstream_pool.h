// Pool of connections to the local upstream; one request at a time on each.
//
//   pool.Send(exchange, request, "id-17", idempotent);
//   pool.Cancel(exchange);   // closes its connection; no event follows
//
// Each request is sent once. Connections are kept alive and reused, the most
// recently used first. A connection is closed after
// UpstreamPoolOptions::idle_percent of the upstream's idle limit, and is not
// reused after anything unexpected. A request that is not idempotent uses a
// recently used or a new connection only: if the upstream closes the connection
// while the request is being sent, the outcome is unknown and the request
// cannot be retried.
//
// A late response to an earlier request is recognized by its id and skipped. A
// response without an id is accepted only as the first one of a connection,
// where no earlier request can have caused it.
//
// A response without a length is complete when the upstream has closed the
// connection in order. After a reset it is not, nor after a write that failed.
//
// An upstream in trouble may send bytes without end. They are bounded in every
// part of a response: the head by UpstreamPoolOptions::header_bytes, interim
// responses by their number (http/reader.h), a body by the credit of its reader
// and by answer_bytes, and bytes after a response end the connection. The
// caller of the pool bounds the time.
//
// Bounds: UpstreamPoolOptions::connections, beyond which an exchange ends as
// unreachable. A response above UpstreamPoolOptions::answer_bytes ends as too
// large. Not thread-safe.
#ifndef ALMONDWIND_SIDECAR_UPSTREAM_POOL_H_
#define ALMONDWIND_SIDECAR_UPSTREAM_POOL_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>

#include "almondwind/base/outcome.h"
#include "almondwind/http/reader.h"
#include "almondwind/loop/stream.h"
#include "almondwind/peers/frames.h"
#include "almondwind/sidecar/environment.h"

namespace almondwind::sidecar {

struct UpstreamPoolOptions {
  size_t connections = 128;
  uint64_t answer_bytes = 64u << 20;
  uint32_t header_bytes = 64u << 10;
  // Responses with larger bodies are streamed. Smaller ones are buffered until
  // complete, so that the request can be retried if the response is cut off.
  size_t streaming_threshold_bytes = 64u << 10;
  // Used if the upstream announces no limit; below common server defaults.
  base::Millis idle_limit{4000};
  // Share of the announced idle limit after which a connection is closed, in
  // percent, so that the upstream does not close it just as a request is sent.
  int idle_percent = 60;
  // Maximum idle time of a connection that is used for a request that is not
  // idempotent: some servers close connections earlier than announced.
  base::Millis non_idempotent_idle{800};
};

class UpstreamPoolEvents {
 public:
  virtual ~UpstreamPoolEvents() = default;
  // An exchange ended. `response` is valid for EndKind::kAnswer only.
  virtual void OnUpstreamEnd(uint64_t exchange, base::EndKind kind,
                             http::Response response,
                             const ResponseMetadata& metadata) = 0;
  // The head of a response whose body is streamed. Reading is paused until
  // ResumeBody.
  virtual void OnUpstreamHead(uint64_t exchange, http::Response response,
                              const ResponseMetadata& metadata) = 0;
  // The next part of such a body. Any `end` but kMore ends the exchange.
  virtual void OnUpstreamBody(uint64_t exchange, std::string bytes,
                              peers::BodyEnd end) = 0;
  // All bytes given to SendBody so far have been written.
  virtual void OnUpstreamDrained(uint64_t exchange) = 0;
  // The outcome of Probe. `refused`: nothing listens at the upstream's address.
  virtual void OnUpstreamProbed(bool refused) = 0;
};

class UpstreamPool {
 public:
  UpstreamPool(boost::asio::io_context& io, loop::Timers& timers,
               const Dialect& dialect, const UpstreamPoolOptions& options,
               UpstreamPoolEvents& events);
  ~UpstreamPool();

  // Sets the address of the upstream. If it changes, idle connections are
  // closed.
  void SetAddress(const std::string& address);
  // `request_id`: the id that the upstream returns in its response; empty:
  // none.
  void Send(uint64_t exchange, const http::Request& request,
            const std::string& request_id, bool idempotent);
  // Sends the next part of a streamed request body.
  void SendBody(uint64_t exchange, std::string_view bytes, bool last);
  // Bytes of the exchange's request that wait to be written.
  size_t unwritten(uint64_t exchange) const;
  // Pause and resume reading a streamed response body.
  void PauseBody(uint64_t exchange);
  void ResumeBody(uint64_t exchange);
  void Cancel(uint64_t exchange);
  // Dials the upstream to learn whether its process is there, and closes the
  // connection. Does nothing if a probe is under way.
  void Probe();
  void CloseIdle();

  size_t open() const { return connections_.size(); }
  uint64_t dialed() const { return dialed_; }

 private:
  class Connection;
  class Prober;
  using Connections = std::list<Connection>;

  Connection* Find(uint64_t exchange) const;
  Connection* TakeIdle(bool recent);
  void Erase(Connection& connection);
  void OnEnd(Connection& connection, base::EndKind kind,
             http::Response response, const ResponseMetadata& metadata);
  void OnBodyEnd(Connection& connection, std::string bytes, peers::BodyEnd end);
  void OnProbed(bool refused);
  void Release(Connection& connection);
  void SweepIdle();

  boost::asio::io_context& io_;
  loop::Timers& timers_;
  const Dialect& dialect_;
  const UpstreamPoolOptions options_;
  UpstreamPoolEvents& events_;
  boost::asio::ip::tcp::endpoint endpoint_;
  Connections connections_;
  std::unordered_map<uint64_t, Connection*> busy_;
  loop::Timer sweep_;
  std::unique_ptr<Prober> prober_;
  uint64_t dialed_ = 0;
};

}  // namespace almondwind::sidecar

#endif  // ALMONDWIND_SIDECAR_UPSTREAM_POOL_H_
