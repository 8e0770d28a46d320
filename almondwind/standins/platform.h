// Stand-in for the platform's configuration service, which can only be read and
// watched. Allows 2,000 reads per second over all readers and answers 429 to
// the rest.
//
//   /v1/watch?since=R&wait_ms=N   see node/platform_client.h
// Administration, at the same address; not part of the service's protocol:
//   /admin/publish?path=P   sets a value to the body; its version is the new
//                           revision
//   /admin/set?down=0|1&freeze=0|1&older=0|1&lag_ms=N
//     down: close connections without a response; freeze: hide later revisions;
//     older: serve each value's previous version; lag_ms: delay each response
//   /admin/stats            numbers of reads and refused reads
#ifndef ALMONDWIND_STANDINS_PLATFORM_H_
#define ALMONDWIND_STANDINS_PLATFORM_H_

#include <boost/asio/io_context.hpp>
#include <string>

namespace almondwind::standins {

// Serves the values in the TOML files of `folder` at `address`.
void ServePlatform(boost::asio::io_context& io, const std::string& address,
                   const std::string& folder);

}  // namespace almondwind::standins

#endif  // ALMONDWIND_STANDINS_PLATFORM_H_
