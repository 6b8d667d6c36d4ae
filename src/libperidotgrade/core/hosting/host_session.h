// One entry shard's session at an agent.
#pragma once

#include "peridotgrade/core/base/ids.h"
#include "peridotgrade/core/base/time.h"
#include "peridotgrade/core/hosting/host_action.h"

namespace peridotgrade {

/// The state of one connection. Its lease covers everything that is reserved under its epoch.
struct HostSession {
    ConnectionId connection;
    EntryId entry;
    SessionEpoch epoch;
    /// False before OpenSession and after the lease has expired.
    bool isLive = false;
    TimePoint renewedAt;
    /// Invariant: true while anything is reserved under a live epoch.
    bool hasExpiryTimer = false;
};

} // namespace peridotgrade
