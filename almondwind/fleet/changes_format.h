// Wire format of the changes of the fleet that one peer sends to another.
#ifndef ALMONDWIND_FLEET_CHANGES_FORMAT_H_
#define ALMONDWIND_FLEET_CHANGES_FORMAT_H_

#include <string>

#include "almondwind/fleet/view.h"

namespace almondwind::fleet {

std::string EncodeChanges(const Changes& changes);

// Throws base::Error(kMalformed) if `text` is not an encoded Changes.
Changes DecodeChanges(const std::string& text);

}  // namespace almondwind::fleet

#endif  // ALMONDWIND_FLEET_CHANGES_FORMAT_H_
