// Stand-in for the network between hosts: forwards TCP ways, and cuts or
// delays them on demand.
//   admin: /set?cut=0|1&delay_ms=N   for all its ways
#ifndef ALMONDWIND_STANDINS_RELAY_H_
#define ALMONDWIND_STANDINS_RELAY_H_

#include <boost/asio/io_context.hpp>
#include <string>
#include <vector>

namespace almondwind::standins {

// Each way is "FROM=TO", both "ip:port".
void ServeRelay(boost::asio::io_context& io,
                const std::vector<std::string>& forwards,
                const std::string& admin);

}  // namespace almondwind::standins

#endif  // ALMONDWIND_STANDINS_RELAY_H_
