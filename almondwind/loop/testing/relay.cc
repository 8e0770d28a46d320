#include "almondwind/loop/testing/relay.h"

#include <deque>
#include <utility>

#include "almondwind/loop/endpoint.h"

namespace almondwind::loop::testing {

using base::Millis;

// A relayed connection: one socket to the client and one to the server.
class Relay::Pair {
 public:
  Pair(Relay& relay, boost::asio::ip::tcp::socket socket)
      : relay_(relay), client_(*this, true), server_(*this, false) {
    client_.stream =
        Stream::Adopt(relay.timers_, std::move(socket), {}, client_);
    server_.stream = Stream::Dial(relay.io_, relay.timers_,
                                  ParseEndpoint(relay.to_), {}, server_);
  }
  ~Pair() {
    client_.stream->Close();
    server_.stream->Close();
  }
  bool lossy() const { return lost_bytes_; }

 private:
  struct Side : StreamEvents {
    Side(Pair& owner, bool is_client)
        : pair(owner), client(is_client), timer(owner.relay_.timers_) {}
    void OnData(std::string_view data) override { pair.OnData(*this, data); }
    void OnEnd(StreamEnd) override { pair.relay_.pairs_.erase(&pair); }

    Pair& pair;
    const bool client;
    StreamPtr stream;
    Timer timer;  // for the oldest of `delayed`
    // Bytes to send, each with the time at which they are due.
    std::deque<std::pair<Millis, std::string>> delayed;
  };

  void OnData(Side& from, std::string_view data) {
    bool dropped = relay_.mode_ == RelayMode::kSilent ||
                   (relay_.mode_ == RelayMode::kOneWay && !from.client);
    lost_bytes_ = lost_bytes_ || dropped;
    if (dropped) return;
    Side& to = from.client ? server_ : client_;
    if (relay_.delay_ == Millis(0) && to.delayed.empty()) {
      to.stream->Write(data);
      return;
    }
    to.delayed.emplace_back(relay_.timers_.Now() + relay_.delay_,
                            std::string(data));
    if (!to.timer.pending()) StartTimer(to);
  }

  void StartTimer(Side& to) {
    Millis wait = to.delayed.front().first - relay_.timers_.Now();
    to.timer.Start(std::max(Millis(0), wait), [this, &to] {
      std::string bytes = std::move(to.delayed.front().second);
      to.delayed.pop_front();
      if (!to.delayed.empty()) StartTimer(to);
      to.stream->Write(bytes);
    });
  }

  Relay& relay_;
  bool lost_bytes_ = false;
  Side client_;
  Side server_;
};

Relay::Relay(boost::asio::io_context& io, Timers& timers,
             const std::string& listen, const std::string& to)
    : io_(io),
      timers_(timers),
      to_(to),
      acceptor_(io, timers, listen, [this](auto socket) {
        if (mode_ == RelayMode::kRefuse) return;
        auto pair = std::make_unique<Pair>(*this, std::move(socket));
        Pair* raw = pair.get();
        pairs_[raw] = std::move(pair);
      }) {}

Relay::~Relay() = default;

void Relay::SetMode(RelayMode mode) {
  mode_ = mode;
  if (mode == RelayMode::kRefuse) ResetAll();
  if (mode != RelayMode::kPass) return;
  for (auto it = pairs_.begin(); it != pairs_.end();) {
    it = it->first->lossy() ? pairs_.erase(it) : std::next(it);
  }
}

void Relay::ResetAll() { pairs_.clear(); }

}  // namespace almondwind::loop::testing
