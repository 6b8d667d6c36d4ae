// What an agent and entries tell each other besides work: configuration versions and quarantined requests.
#pragma once

#include "peridotgrade/agent/agent_connections.h"
#include "peridotgrade/core/base/time.h"
#include "peridotgrade/core/quarantine/quarantine.h"
#include "peridotgrade/services/configuration_follower.h"

#include <mutex>
#include <vector>

namespace peridotgrade {

/// Passes configuration on while the log is out of reach, and word of quarantined requests at any time.
/// Thread safe.
class PeerNotices {
public:
    PeerNotices(ConfigurationFollower& follower, AgentConnections& connections);

    /// Tells a new connection what is quarantined.
    void onConnected(ConnectionId connection);
    /// True if the message was a notice; otherwise it is for the backend's host.
    bool onMessage(ConnectionId connection, const EntryMessage& message);
    /// Another version is in force here.
    void onVersion(ConfigVersion version);

private:
    void onVersionReported(ConnectionId connection, ConfigVersion version);
    void onFetchRequest(ConnectionId connection, const FetchConfiguration& request);
    void onQuarantined(const QuarantineNotice& notice);
    bool tryStartFetch();

    ConfigurationFollower& follower;
    AgentConnections& connections;
    std::mutex mutex;
    Quarantine quarantine;
    TimePoint lastFetchAt;
};

} // namespace peridotgrade
