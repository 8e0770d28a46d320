// Stand-in for the platform's configuration service: it can only be read and
// watched. At most 2,000 reads a second over all readers; more get 429.
//
//   /v1/watch?since=R&wait_ms=N   as node/platform_client.h describes
// Admin (same address, for tests; not part of the service's protocol):
//   /admin/publish?path=P   body: the new text; the version is the revision
//   /admin/set?down=0|1&freeze=0|1&older=0|1&lag_ms=N
//   /admin/stats            reads and refused reads
#ifndef ALMONDWIND_STANDINS_PLATFORM_H_
#define ALMONDWIND_STANDINS_PLATFORM_H_

#include <boost/asio/io_context.hpp>
#include <string>

namespace almondwind::standins {

// Serves the values found below `folder` at `address`.
void ServePlatform(boost::asio::io_context& io, const std::string& address,
                   const std::string& folder);

}  // namespace almondwind::standins

#endif  // ALMONDWIND_STANDINS_PLATFORM_H_
