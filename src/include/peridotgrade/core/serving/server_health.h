// Health of backend servers, from the results of this entry's own calls.
#pragma once

#include "peridotgrade/core/base/time.h"
#include "peridotgrade/core/serving/server_record.h"

#include <chrono>
#include <cstdint>
#include <map>

namespace peridotgrade {

/// Result of one call to a server.
enum class ServerCallResult : std::uint8_t {
    Answered,
    /// The server answered with an error of its own.
    ServerError,
    /// No connection, a broken one, or no answer in time.
    Unreachable,
    /// Nothing listens at its address, so its process has ended; the next listener there is usually another
    /// server.
    Absent,
    /// Another server, or one with another role, answers at its address: the server list is out of date.
    Superseded,
};

/// Keeps a moving average of failures and an ejection time for each server. An unreachable server is ejected
/// for a time that doubles with each further failure. An absent or superseded one is ejected until the list
/// should have caught up, whatever answers at its address meanwhile. A server with more errors than its peers
/// is used less. Not thread safe.
class ServerHealth {
public:
    /// First ejection: long enough for a reconnect, short compared with a server restart.
    static constexpr std::chrono::milliseconds BaseEjectionTime { 400 };
    /// Longest ejection: a server that is back gets requests again within this time.
    static constexpr std::chrono::milliseconds MaxEjectionTime { 3000 };

    void record(const ServerId& server, ServerCallResult result, TimePoint now);
    void forget(const ServerId& server) { this->servers.erase(server); }

    bool isEjected(const ServerId& server, TimePoint now) const;
    /// True if the server is absent or superseded, so that its address leads to another server or to none.
    bool isReplaced(const ServerId& server, TimePoint now) const;
    /// Share of recent calls that failed, 0 to 1.
    double failureShare(const ServerId& server) const;

private:
    struct Health {
        double failures = 0;
        std::uint32_t consecutiveUnreachable = 0;
        TimePoint ejectedUntil {};
        /// Answers at its address do not end this, since they come from another server.
        TimePoint replacedUntil {};
    };
    std::map<ServerId, Health> servers;
};

} // namespace peridotgrade
