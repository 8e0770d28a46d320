// Stand-in for the network between hosts: forwards TCP connections, and blocks
// or delays them on demand. The admin address sets this for all connections:
//   /set?cut=0|1&delay_ms=N
#ifndef ALMONDWIND_STANDINS_RELAY_H_
#define ALMONDWIND_STANDINS_RELAY_H_

#include <boost/asio/io_context.hpp>
#include <string>
#include <vector>

namespace almondwind::standins {

// Each forward is "FROM=TO", both "ip:port".
void ServeRelay(boost::asio::io_context& io,
                const std::vector<std::string>& forwards,
                const std::string& admin);

}  // namespace almondwind::standins

#endif  // ALMONDWIND_STANDINS_RELAY_H_
