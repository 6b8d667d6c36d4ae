// Servers that have asked to be left alone for a while.
#pragma once

#include "peridotgrade/core/base/time.h"
#include "peridotgrade/core/serving/server_record.h"

#include <map>
#include <optional>
#include <vector>

namespace peridotgrade {

/// Keeps until when each server wants no requests, as it said itself when it turned one away. This is no
/// failure and is kept apart from its health: such a server gets nothing at all, even if it is the last one.
/// Load that it answers: more requests than a service has room for. Not thread safe.
class ServerBackoff {
public:
    /// A longer time counts as this long.
    static constexpr std::chrono::hours MaxTime { 1 };

    /// The server wants no requests for `time` from now on. A shorter time does not replace a longer one.
    void note(const ServerRecord& server, Duration time, TimePoint now);
    void forget(const ServerId& server) { this->servers.erase(server); }

    /// When the server may get requests again; nothing if it may get them now. A new incarnation of a server
    /// may always get them.
    std::optional<TimePoint> until(const ServerRecord& server, TimePoint now) const;
    /// When the first of the servers may get requests again; nothing if one may get them now, or there is
    /// none.
    std::optional<TimePoint> untilOfAll(const std::vector<const ServerRecord*>& servers, TimePoint now) const;

private:
    struct Backoff {
        WallTime startedAt {};
        TimePoint until {};
    };
    std::map<ServerId, Backoff> servers;
};

} // namespace peridotgrade
