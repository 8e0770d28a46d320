// Addresses of TCP sockets as text.
#ifndef ALMONDWIND_LOOP_ENDPOINT_H_
#define ALMONDWIND_LOOP_ENDPOINT_H_

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace almondwind::loop {

// Returns the endpoint of "ip:port". Throws base::Error(kMalformed).
boost::asio::ip::tcp::endpoint ParseEndpoint(const std::string& address);

}  // namespace almondwind::loop

#endif  // ALMONDWIND_LOOP_ENDPOINT_H_
