// Reads a page with one GET, for reads off the request path.
//
//   FetchOptions options;
//   options.address = "10.1.0.8:8301";
//   options.target = "/health";
//   std::optional<HttpResponse> page = Fetch(options);
//
// Bounds: FetchOptions::timeout, and FetchOptions::max_body_bytes of an answer,
// of which up to three times as much is held while it arrives. Cost: a
// connection and an event loop of its own. Blocks the calling thread.
#ifndef ALMONDWIND_LINKS_FETCH_H_
#define ALMONDWIND_LINKS_FETCH_H_

#include <cstddef>
#include <optional>
#include <string>

#include "almondwind/base/clock.h"
#include "almondwind/links/http_client.h"

namespace almondwind::links {

struct FetchOptions {
  std::string address;  // "ip:port"
  std::string target;
  base::Millis timeout{1000};  // of the whole exchange
  size_t max_body_bytes = 64u << 10;
};

// Returns nothing if no answer came within the bounds. Throws base::Error if
// the address is malformed.
std::optional<HttpResponse> Fetch(const FetchOptions& options);

}  // namespace almondwind::links

#endif  // ALMONDWIND_LINKS_FETCH_H_
