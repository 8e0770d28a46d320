#include "almondwind/node/platform_client.h"

#include <cpprest/http_client.h>
#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <random>
#include <vector>

#include "almondwind/node/node.h"

namespace almondwind::node {

using base::Millis;

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
    web::http::client::http_client_config config;
    config.set_timeout(
        std::chrono::milliseconds(options_.watch_wait.count() * 3));
    web::http::client::http_client client("http://" + options_.address, config);
    std::string target = fmt::format("/v1/watch?since={}&wait_ms={}", revision_,
                                     options_.watch_wait.count());
    web::http::http_response response =
        client.request(web::http::methods::GET, target).get();
    if (response.status_code() != web::http::status_codes::OK) return false;
    auto document = nlohmann::json::parse(response.extract_utf8string().get());
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
