#include "almondwind/node/health_poll.h"

#include <cpprest/http_client.h>

#include "almondwind/node/node.h"

namespace almondwind::node {

namespace {
constexpr std::chrono::milliseconds kRequestTimeout{1000};
}  // namespace

HealthPoll::HealthPoll(HealthPollOptions options)
    : options_(std::move(options)) {}

HealthPoll::~HealthPoll() { Close(); }

void HealthPoll::Start(Node& node) {
  if (options_.path.empty() || options_.address.empty()) return;
  thread_ = std::thread([this, &node] { Loop(node); });
}

void HealthPoll::Close() {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    closed_ = true;
  }
  wake_.notify_all();
  if (thread_.joinable()) thread_.join();
}

void HealthPoll::Loop(Node& node) {
  std::unique_lock<std::mutex> lock(mutex_);
  while (!closed_) {
    lock.unlock();
    PollOnce(node);
    lock.lock();
    wake_.wait_for(lock, std::chrono::milliseconds(options_.interval.count()),
                   [this] { return closed_; });
  }
}

void HealthPoll::PollOnce(Node& node) {
  try {
    web::http::client::http_client_config config;
    config.set_timeout(kRequestTimeout);
    web::http::client::http_client client("http://" + options_.address, config);
    auto response =
        client.request(web::http::methods::GET, options_.path).get();
    std::string text = response.extract_utf8string(true).get();
    bool draining = text.find("draining") != std::string::npos;
    node.SetLeaving(LeaveCause::kUpstream, draining);
  } catch (const std::exception&) {
    // A failed poll is ignored; the gate detects failures from requests.
  }
}

}  // namespace almondwind::node
