// A record of the platform's log.
#pragma once

#include "peridotgrade/core/base/ids.h"
#include "peridotgrade/core/base/time.h"

#include <string>

namespace peridotgrade {

/// One record of one stream. All decisions that processes must agree on follow the order of the offsets.
struct LogRecord {
    LogOffset offset;
    WallTime appendedAt;
    std::string data;
};

} // namespace peridotgrade
