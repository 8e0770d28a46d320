// Wire format of the list of upstreams that one peer sends to another.
#ifndef ALMONDWIND_FLEET_LIST_FORMAT_H_
#define ALMONDWIND_FLEET_LIST_FORMAT_H_

#include <string>
#include <vector>

#include "almondwind/fleet/view.h"

namespace almondwind::fleet {

std::string EncodeList(const std::vector<Upstream>& upstreams);

// Throws base::Error(kMalformed) if `text` is not an encoded list.
std::vector<Upstream> DecodeList(const std::string& text);

}  // namespace almondwind::fleet

#endif  // ALMONDWIND_FLEET_LIST_FORMAT_H_
