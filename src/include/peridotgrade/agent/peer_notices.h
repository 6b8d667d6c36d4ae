// Exchange of configuration versions and quarantine notices between an agent and entries.
#pragma once

#include "peridotgrade/agent/agent_connections.h"
#include "peridotgrade/core/base/time.h"
#include "peridotgrade/core/quarantine/quarantine.h"
#include "peridotgrade/services/configuration_follower.h"

#include <mutex>
#include <vector>

namespace peridotgrade {

/// Spreads the configuration while the log is unreachable, and quarantined fingerprints at any time. Thread
/// safe.
class PeerNotices {
public:
    PeerNotices(ConfigurationFollower& follower, AgentConnections& connections);

    /// Sends the quarantined fingerprints to a new connection.
    void onConnected(ConnectionId connection);
    /// Returns true if the message was handled here; otherwise it is for the backend.
    bool onMessage(ConnectionId connection, const EntryMessage& message);
    /// Notifies all connections that another version is in force here.
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
