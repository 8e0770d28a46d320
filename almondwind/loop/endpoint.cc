#include "almondwind/loop/endpoint.h"

#include <stdexcept>

#include "almondwind/base/outcome.h"

namespace almondwind::loop {

namespace net = boost::asio;

net::ip::tcp::endpoint ParseEndpoint(const std::string& address) {
  size_t colon = address.rfind(':');
  try {
    if (colon == std::string::npos) throw std::invalid_argument("no port");
    size_t used = 0;
    std::string port = address.substr(colon + 1);
    int number = std::stoi(port, &used);
    if (used != port.size() || number < 1 || number > 65535) {
      throw std::invalid_argument("port out of range");
    }
    return {net::ip::make_address(address.substr(0, colon)),
            static_cast<uint16_t>(number)};
  } catch (const std::exception& e) {
    throw base::Error(base::Reason::kMalformed,
                      "address '" + address + "' is not IP:PORT");
  }
}

}  // namespace almondwind::loop
