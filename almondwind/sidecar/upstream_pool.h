// Connections to the upstream beside this node, one request on each at a time.
//
//   pool.Send(exchange, request, "id-17", idempotent);
//   pool.Cancel(exchange);   // closes its connection; no event follows
//
// Each request is sent once. Connections are kept and used again, the last
// used first; one is closed when it has been idle for a good part of what the
// upstream allows, and one that showed anything unexpected is never used
// again. A request that must not run twice goes on a connection that was used
// a moment ago, or on a new one, since a close by the upstream that crosses it
// leaves its outcome unknown.
//
// An answer to an earlier request that comes late is told by its id, and
// skipped.
//
// Bounds: Options::connections; beyond it an exchange ends as unreachable. An
// answer over Options::answer_bytes ends as too large. Not thread-safe.
#ifndef ALMONDWIND_SIDECAR_UPSTREAM_POOL_H_
#define ALMONDWIND_SIDECAR_UPSTREAM_POOL_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <list>
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
  // Answers with longer bodies are passed on in parts. Smaller ones are held
  // until they are whole, so that one that breaks off can be asked for again.
  size_t whole_bytes = 64u << 10;
  // Used where the upstream names no limit; below common server defaults.
  base::Millis idle_limit{4000};
  // Share of the upstream's idle limit after which a connection is closed, in
  // percent, so that its own close never crosses a request.
  int idle_percent = 60;
  // Idle time up to which a connection takes a request that must not run
  // twice: some servers close sooner than they say.
  base::Millis non_idempotent_idle{800};
};

class UpstreamPoolEvents {
 public:
  virtual ~UpstreamPoolEvents() = default;
  // `response` counts for EndKind::kAnswer only.
  virtual void OnUpstreamEnd(uint64_t exchange, base::EndKind kind,
                             http::Response response,
                             const ResponseMetadata& metadata) = 0;
  // An answer whose body comes in parts. Nothing more of it is read until
  // ResumeBody.
  virtual void OnUpstreamHead(uint64_t exchange, http::Response response,
                              const ResponseMetadata& metadata) = 0;
  // A part of such an answer; anything but kMore ends the exchange.
  virtual void OnUpstreamBody(uint64_t exchange, std::string bytes,
                              peers::BodyEnd end) = 0;
  // All of the request's body that was given has been written.
  virtual void OnUpstreamDrained(uint64_t exchange) = 0;
};

class UpstreamPool {
 public:
  UpstreamPool(boost::asio::io_context& io, loop::Timers& timers,
               const Dialect& dialect, const UpstreamPoolOptions& options,
               UpstreamPoolEvents& events);
  ~UpstreamPool();

  // The upstream is at `address` from now on; idle connections to another
  // address are closed.
  void SetAddress(const std::string& address);
  // `request_id`: what the upstream repeats in its answer; empty: nothing.
  void Send(uint64_t exchange, const http::Request& request,
            const std::string& request_id, bool idempotent);
  // The next part of the body of a request whose `rest` follows.
  void SendBody(uint64_t exchange, std::string_view bytes, bool last);
  // Bytes of the exchange's request that have not been written yet.
  size_t unwritten(uint64_t exchange) const;
  // Holds back, or goes on reading, an answer that comes in parts.
  void PauseBody(uint64_t exchange);
  void ResumeBody(uint64_t exchange);
  void Cancel(uint64_t exchange);
  void CloseIdle();

  size_t open() const { return connections_.size(); }
  uint64_t dialled() const { return dialled_; }

 private:
  class Connection;
  using Connections = std::list<Connection>;

  Connection* Find(uint64_t exchange) const;
  Connection* TakeIdle(bool recent);
  void Erase(Connection& connection);
  void OnEnd(Connection& connection, base::EndKind kind,
             http::Response response, const ResponseMetadata& metadata);
  void OnBodyEnd(Connection& connection, std::string bytes, peers::BodyEnd end);
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
  uint64_t dialled_ = 0;
};

}  // namespace almondwind::sidecar

#endif  // ALMONDWIND_SIDECAR_UPSTREAM_POOL_H_
