// How far a backend server can be trusted, from what our own requests saw there.
#pragma once

#include "peridotgrade/core/base/time.h"
#include "peridotgrade/core/serving/server_record.h"

#include <chrono>
#include <cstdint>
#include <map>

namespace peridotgrade {

/// What one call at a server came to.
enum class ServerCallResult : std::uint8_t {
    Answered,
    /// The server answered with an error of its own.
    ServerError,
    /// No connection, a broken one, or no answer in time.
    Unreachable,
    /// Nothing listens at its address, so its process has ended; what listens there next is mostly another.
    Absent,
    /// Another server, or one with another stage, answers there: the list is behind.
    Superseded,
};

/// Keeps a failure average and an ejection time for each server. A server that cannot be reached is left out
/// for a time that doubles with each further failure; one that is absent or superseded, until the list can
/// have caught up, whatever answers at its address meanwhile. One that answers with more errors than its
/// peers is used less. Not thread safe.
class ServerHealth {
public:
    /// First ejection; long enough for one restart of a connection, short against a restart of a server.
    static constexpr std::chrono::milliseconds BaseEjectionTime { 400 };
    /// Longest ejection: a server that is back gets work again within this time.
    static constexpr std::chrono::milliseconds MaxEjectionTime { 3000 };

    void record(const ServerId& server, ServerCallResult result, TimePoint now);
    void forget(const ServerId& server) { this->servers.erase(server); }

    bool isEjected(const ServerId& server, TimePoint now) const;
    /// True if the server is absent or superseded, so that its address leads elsewhere.
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
