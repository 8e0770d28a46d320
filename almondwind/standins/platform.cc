#include "almondwind/standins/platform.h"

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>

#include "almondwind/standins/http_server.h"

namespace almondwind::standins {

namespace http = boost::beast::http;
namespace net = boost::asio;
namespace fs = std::filesystem;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;

namespace {

constexpr int kReadsPerSecond = 2000;
constexpr size_t kMaxValueBytes = 1u << 20;
constexpr std::chrono::milliseconds kPollInterval{20};

struct StoredValue {
  uint64_t version = 0;
  std::string text;
  uint64_t previous_version = 0;  // served while serves_previous_
  std::string previous_text;
};

class Platform {
 public:
  Platform(net::io_context& io, const std::string& folder) : io_(io) {
    for (const auto& file : fs::recursive_directory_iterator(folder)) {
      if (file.path().extension() != ".toml") continue;
      std::ifstream in(file.path());
      std::stringstream text;
      text << in.rdbuf();
      fs::path relative = fs::relative(file.path(), folder);
      Publish("/" + relative.replace_extension().string(), text.str());
    }
  }

  bool Serve(ServedRequest& served, links::HttpResponse& response) {
    std::string target(served.request.target());
    std::string path = PathOf(target);
    auto parameters = ParseQuery(target);
    if (path == "/admin/publish") {
      Publish(parameters["path"], served.request.body());
      response.body() = std::to_string(revision_);
    } else if (path == "/admin/set") {
      SetFaults(parameters);
    } else if (path == "/admin/stats") {
      response.body() =
          nlohmann::json({{"reads", reads_}, {"refused", refused_}}).dump();
    } else if (path == "/v1/watch") {
      return Watch(parameters, served, response);
    } else {
      response.result(http::status::not_found);
    }
    return true;
  }

 private:
  void Publish(const std::string& path, const std::string& text) {
    if (text.size() > kMaxValueBytes) return;
    StoredValue& stored = values_[path];
    stored.previous_version = stored.version;
    stored.previous_text = stored.text;
    stored.version = ++revision_;
    stored.text = text;
  }

  void SetFaults(const std::map<std::string, std::string>& parameters) {
    for (const auto& [name, text] : parameters) {
      int value = std::atoi(text.c_str());
      if (name == "down") down_ = value != 0;
      if (name == "freeze") frozen_revision_ = value != 0 ? revision_ : 0;
      if (name == "older") serves_previous_ = value != 0;
      if (name == "lag_ms") response_delay_ms_ = value;
    }
  }

  bool Admit() {
    ++reads_;
    auto now = Clock::now();
    if (now - window_start_ > std::chrono::seconds(1)) {
      window_start_ = now;
      reads_in_window_ = 0;
    }
    if (++reads_in_window_ <= kReadsPerSecond) return true;
    ++refused_;
    return false;
  }

  bool Watch(std::map<std::string, std::string>& parameters,
             ServedRequest& served, links::HttpResponse& response) {
    if (down_) return false;
    if (!Admit()) {
      response.result(http::status::too_many_requests);
      return true;
    }
    auto since = static_cast<uint64_t>(std::atoll(parameters["since"].c_str()));
    auto until = Clock::now() + std::chrono::milliseconds(
                                    std::atoi(parameters["wait_ms"].c_str()));
    net::steady_timer timer(io_);
    error_code ec;
    while (VisibleRevision() == since && Clock::now() < until && !down_) {
      timer.expires_after(kPollInterval);
      timer.async_wait(served.yield[ec]);
    }
    if (response_delay_ms_ > 0) {
      timer.expires_after(std::chrono::milliseconds(response_delay_ms_));
      timer.async_wait(served.yield[ec]);
    }
    if (down_) return false;
    response.body() = ValuesSince(since);
    response.set(http::field::content_type, "application/json");
    return true;
  }

  uint64_t VisibleRevision() const {
    return frozen_revision_ > 0 ? frozen_revision_ : revision_;
  }

  std::string ValuesSince(uint64_t since) const {
    nlohmann::json out = {{"revision", VisibleRevision()},
                          {"values", nlohmann::json::array()}};
    for (const auto& [path, stored] : values_) {
      bool previous = serves_previous_ && stored.previous_version > 0;
      uint64_t version = previous ? stored.previous_version : stored.version;
      if (version > VisibleRevision() ||
          (version <= since && !serves_previous_)) {
        continue;
      }
      out["values"].push_back(
          {{"path", path},
           {"version", version},
           {"text", previous ? stored.previous_text : stored.text}});
    }
    return out.dump();
  }

  net::io_context& io_;
  std::map<std::string, StoredValue> values_;
  uint64_t revision_ = 0;
  bool down_ = false;
  bool serves_previous_ = false;
  uint64_t frozen_revision_ = 0;
  int response_delay_ms_ = 0;
  uint64_t reads_ = 0;
  uint64_t refused_ = 0;
  int reads_in_window_ = 0;
  Clock::time_point window_start_;
};

}  // namespace

void ServePlatform(net::io_context& io, const std::string& address,
                   const std::string& folder) {
  // Static because the io_context's handlers refer to it until the process
  // ends.
  static Platform platform(io, folder);
  Serve(io, address, {}, [](ServedRequest& served, links::HttpResponse& r) {
    return platform.Serve(served, r);
  });
}

}  // namespace almondwind::standins
