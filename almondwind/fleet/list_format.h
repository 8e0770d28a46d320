// Wire form of a list of upstreams, as one peer hands it to another.
#ifndef ALMONDWIND_FLEET_LIST_FORMAT_H_
#define ALMONDWIND_FLEET_LIST_FORMAT_H_

#include <string>
#include <vector>

#include "almondwind/fleet/view.h"

namespace almondwind::fleet {

std::string EncodeList(const std::vector<Upstream>& upstreams);

// Throws base::Error(kMalformed).
std::vector<Upstream> DecodeList(const std::string& text);

}  // namespace almondwind::fleet

#endif  // ALMONDWIND_FLEET_LIST_FORMAT_H_
