#include "almondwind/node/upstream_client.h"

#include <boost/beast/http/field.hpp>
#include <utility>

#include "almondwind/links/mesh.h"
#include "almondwind/loop/endpoint.h"
#include "almondwind/node/node.h"

namespace almondwind::node {

namespace http = boost::beast::http;

namespace {

links::HttpRequest MakeRequest(const machines::Request& request,
                               const std::string& address,
                               const std::string& request_id,
                               base::Millis timeout) {
  links::HttpRequest out{http::string_to_verb(request.method), request.target,
                         11};
  out.set(http::field::host, address);
  out.set("X-Request-Id", request_id);
  out.set("X-Request-Class",
          std::string(base::NameOf(base::kClassNames, request.cls)));
  out.set("X-Request-Timeout-Ms", std::to_string(timeout.count()));
  if (!request.key.empty()) out.set("Idempotency-Key", request.key);
  if (!request.content_type.empty()) {
    out.set(http::field::content_type, request.content_type);
  }
  out.body() = request.body;
  return out;
}

UpstreamResult Translate(links::HttpResult end) {
  UpstreamResult out;
  out.kind = end.kind;
  if (end.kind != base::EndKind::kAnswer) return out;
  out.status = end.response.result_int();
  out.content_type = std::string(end.response[http::field::content_type]);
  out.reports_not_run = end.response["X-Outcome"] == "not_run";
  out.body = std::move(end.response.body());
  return out;
}

}  // namespace

UpstreamClient::UpstreamClient(boost::asio::io_context& io,
                               UpstreamClientOptions options)
    : options_(std::move(options)),
      endpoint_(loop::ParseEndpoint(options_.address)),
      http_(io, options_.http) {}

void UpstreamClient::Start(uint64_t run, const machines::Request& request,
                           const std::string& request_id,
                           base::Millis timeout) {
  // Held during Send, so that End finds the entry even if the exchange ends at
  // once.
  std::lock_guard<std::mutex> lock(mutex_);
  running_[run] = http_.Send(
      endpoint_, MakeRequest(request, options_.address, request_id, timeout),
      [this, run](links::HttpResult end) { End(run, std::move(end)); });
}

void UpstreamClient::Cancel(uint64_t run) {
  std::lock_guard<std::mutex> lock(mutex_);
  auto it = running_.find(run);
  if (it == running_.end()) return;
  it->second->Cancel();
  running_.erase(it);
}

void UpstreamClient::End(uint64_t run, links::HttpResult end) {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    // Cancelled in the meantime; the result is not reported.
    if (running_.erase(run) == 0) return;
  }
  bool draining = end.response["X-Upstream-State"] == "draining";
  if (draining) node_->SetLeaving(LeaveCause::kUpstream, true);
  node_->OnUpstreamEnd(run, Translate(std::move(end)));
}

}  // namespace almondwind::node
