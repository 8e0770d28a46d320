// Parsing of TCP socket addresses.
#ifndef ALMONDWIND_LOOP_ENDPOINT_H_
#define ALMONDWIND_LOOP_ENDPOINT_H_

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace almondwind::loop {

// Parses "ip:port", with a port from 1 to 65535. Host names are not resolved.
// Throws base::Error(kMalformed) if `address` has another form.
boost::asio::ip::tcp::endpoint ParseEndpoint(const std::string& address);

}  // namespace almondwind::loop

#endif  // ALMONDWIND_LOOP_ENDPOINT_H_
