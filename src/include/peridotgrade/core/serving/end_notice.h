// Message to the other entries: a server's address refuses connections.
#pragma once

#include "peridotgrade/core/serving/server_record.h"

namespace peridotgrade {

struct EndNotice {
    ServerId server;
    /// Start of the incarnation that has ended.
    WallTime startedAt {};
};

} // namespace peridotgrade
