#include "almondwind/node/platform_client.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <random>
#include <vector>

#include "almondwind/links/fetch.h"
#include "almondwind/node/node.h"

namespace almondwind::node {

using base::Millis;

namespace {
// Values are up to a megabyte each; a node holds an answer's text and values
// for a moment within the 128 MB that control may use.
constexpr size_t kMaxAnswerBytes = 16u << 20;
}  // namespace

PlatformClient::PlatformClient(PlatformClientOptions options)
    : options_(std::move(options)) {}

PlatformClient::~PlatformClient() { Close(); }

void PlatformClient::Start(Node& node) {
  if (options_.address.empty()) return;
  reader_ = std::thread([this, &node] { Loop(node); });
}

void PlatformClient::Close() {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    closed_ = true;
  }
  wake_.notify_all();
  if (reader_.joinable()) reader_.join();
}

bool PlatformClient::Sleep(Millis span) {
  std::unique_lock<std::mutex> lock(mutex_);
  wake_.wait_for(lock, std::chrono::milliseconds(span.count()),
                 [this] { return closed_; });
  return !closed_;
}

void PlatformClient::Loop(Node& node) {
  std::mt19937_64 random(node.incarnation());
  Millis backoff = options_.min_backoff;
  Millis pause{0};
  while (Sleep(pause)) {
    pause = options_.poll_interval;
    if (!node.ShouldReadPlatform()) continue;
    if (Read(node)) {
      backoff = options_.min_backoff;
      pause = Millis(0);
      continue;
    }
    std::uniform_int_distribution<int64_t> jitter(0, backoff.count());
    pause = backoff + Millis(jitter(random));
    backoff = std::min(options_.max_backoff, backoff * 2);
  }
}

bool PlatformClient::Read(Node& node) {
  try {
    links::FetchOptions options;
    options.address = options_.address;
    options.target = fmt::format("/v1/watch?since={}&wait_ms={}", revision_,
                                 options_.watch_wait.count());
    options.timeout = options_.watch_wait * 3;
    options.max_body_bytes = kMaxAnswerBytes;
    std::optional<links::HttpResponse> response = links::Fetch(options);
    if (!response || response->result_int() != 200) return false;
    auto document = nlohmann::json::parse(response->body());
    std::vector<teams::Value> values;
    for (const auto& item : document.at("values")) {
      values.push_back({item.at("path"), item.at("version"), item.at("text")});
    }
    // A replica restored from a backup may report a lower revision. Following
    // it is safe, because an older version of a value never replaces a newer
    // one.
    revision_ = document.at("revision");
    node.OnPlatform(values);
    return true;
  } catch (const std::exception&) {
    return false;
  }
}

}  // namespace almondwind::node
