// A record of the platform's log.
#pragma once

#include "peridotgrade/core/base/ids.h"
#include "peridotgrade/core/base/time.h"

#include <string>

namespace peridotgrade {

/// One record of one stream. The offset is its place in the order that decides everything agreed.
struct LogRecord {
    LogOffset offset;
    WallTime appendedAt;
    std::string data;
};

} // namespace peridotgrade
