#include "almondwind/loop/endpoint.h"

#include <charconv>
#include <stdexcept>

#include "almondwind/base/outcome.h"

namespace almondwind::loop {

namespace net = boost::asio;

net::ip::tcp::endpoint ParseEndpoint(const std::string& address) {
  size_t colon = address.rfind(':');
  try {
    if (colon == std::string::npos) throw std::invalid_argument("no port");
    uint16_t port = 0;
    const char* end = address.data() + address.size();
    auto [at, error] = std::from_chars(address.data() + colon + 1, end, port);
    if (error != std::errc() || at != end || port == 0) {
      throw std::invalid_argument("port out of range");
    }
    return {net::ip::make_address(address.substr(0, colon)), port};
  } catch (const std::exception& e) {
    throw base::Error(base::Reason::kMalformed,
                      "address '" + address + "' is not IP:PORT");
  }
}

}  // namespace almondwind::loop
