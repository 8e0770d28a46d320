#include "almondwind/load/probe.h"

#include <fmt/format.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <iostream>
#include <thread>

#include "almondwind/links/mesh.h"
#include "almondwind/load/report.h"
#include "almondwind/loop/endpoint.h"

namespace almondwind::load {

namespace beast = boost::beast;
namespace http = beast::http;
using Clock = std::chrono::steady_clock;

namespace {

struct ProbeTarget {
  std::string name;
  boost::asio::ip::tcp::endpoint endpoint;
  std::string path;
};

ProbeTarget ParseTarget(const std::string& text) {
  size_t equals = text.find('=');
  size_t slash = text.find('/', equals);
  if (equals == std::string::npos || slash == std::string::npos) {
    throw std::runtime_error("\"" + text +
                             "\" is not a probe target; remedy: write "
                             "NAME=IP:PORT/PATH");
  }
  ProbeTarget target;
  target.name = text.substr(0, equals);
  target.endpoint =
      loop::ParseEndpoint(text.substr(equals + 1, slash - equals - 1));
  target.path = text.substr(slash);
  return target;
}

// A keep-alive connection to one target.
class Client {
 public:
  explicit Client(const ProbeTarget& target) : target_(target), stream_(io_) {
    stream_.connect(target.endpoint);
    stream_.socket().set_option(boost::asio::ip::tcp::no_delay(true));
  }

  // Sends a request and returns its latency in microseconds, -1 on failure.
  double TimeRequest() {
    http::request<http::empty_body> request{http::verb::get, target_.path, 11};
    request.set(http::field::host, "probe");
    http::response<http::string_body> response;
    auto from = Clock::now();
    beast::error_code ec;
    http::write(stream_, request, ec);
    if (!ec) http::read(stream_, buffer_, response, ec);
    std::chrono::duration<double, std::micro> took = Clock::now() - from;
    return !ec && response.result_int() == 200 ? took.count() : -1;
  }

 private:
  const ProbeTarget& target_;
  boost::asio::io_context io_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
};

int ProbeSequentially(const ProbeOptions& options,
                      const std::vector<ProbeTarget>& targets) {
  std::vector<std::unique_ptr<Client>> clients;
  for (const ProbeTarget& target : targets) {
    clients.push_back(std::make_unique<Client>(target));
  }
  std::vector<std::vector<double>> times(targets.size());
  int failed = 0;
  for (int i = 0; i < options.requests; ++i) {
    for (size_t w = 0; w < targets.size(); ++w) {
      double us = clients[w]->TimeRequest();
      if (us < 0) ++failed;
      times[w].push_back(us);
      std::this_thread::sleep_for(std::chrono::microseconds(options.pause_us));
    }
  }
  double base50 = QuantileOf(times[0], 0.5);
  double base99 = QuantileOf(times[0], 0.99);
  for (size_t w = 0; w < targets.size(); ++w) {
    double p50 = QuantileOf(times[w], 0.5);
    double p99 = QuantileOf(times[w], 0.99);
    std::cout << fmt::format(
        "{:<10} p50 {:7.1f} us  p99 {:7.1f} us  added p50 {:7.1f} us  added "
        "p99 {:7.1f} us\n",
        targets[w].name, p50, p99, p50 - base50, p99 - base99);
  }
  return failed == 0 ? 0 : 1;
}

int ProbeRate(const ProbeOptions& options,
              const std::vector<ProbeTarget>& targets) {
  std::atomic<int> failed{0};
  for (const ProbeTarget& target : targets) {
    std::vector<std::thread> callers;
    auto from = Clock::now();
    for (int c = 0; c < options.callers; ++c) {
      callers.emplace_back([&] {
        Client client(target);
        for (int i = 0; i < options.requests; ++i) {
          if (client.TimeRequest() < 0) ++failed;
        }
      });
    }
    for (std::thread& caller : callers) caller.join();
    std::chrono::duration<double> took = Clock::now() - from;
    std::cout << fmt::format(
        "{:<10} {:7.0f} calls/s with {} callers\n", target.name,
        options.requests * options.callers / took.count(), options.callers);
  }
  return failed == 0 ? 0 : 1;
}

}  // namespace

int RunProbe(const ProbeOptions& options) {
  std::vector<ProbeTarget> targets;
  for (const std::string& text : options.targets) {
    targets.push_back(ParseTarget(text));
  }
  return options.callers > 1 ? ProbeRate(options, targets)
                             : ProbeSequentially(options, targets);
}

}  // namespace almondwind::load
