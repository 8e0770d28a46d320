#include "almondwind/node/health_poll.h"

#include "almondwind/links/fetch.h"
#include "almondwind/node/node.h"

namespace almondwind::node {

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
  links::FetchOptions options;
  options.address = options_.address;
  options.target = options_.path;
  std::optional<links::HttpResponse> page;
  try {
    page = links::Fetch(options);
  } catch (const std::exception&) {
    // A failed poll is ignored; the gate detects failures from requests.
  }
  if (!page) return;
  bool draining = page->body().find("draining") != std::string::npos;
  node.SetLeaving(LeaveCause::kUpstream, draining);
}

}  // namespace almondwind::node
