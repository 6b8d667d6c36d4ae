// Services that an entry process provides to its shards.
#pragma once

#include "peridotgrade/core/actions/action_router.h"
#include "peridotgrade/core/base/ids.h"
#include "peridotgrade/core/messages/version_messages.h"

#include <cstddef>
#include <vector>

namespace peridotgrade {

/// Called by a shard under its lock, so implementations must neither block nor call the shard; they post the
/// work to another executor.
class ShardHost {
public:
    virtual ~ShardHost() = default;

    /// Appends to the claims stream and reports the result by `EntryShard::onAppendResult`.
    virtual void appendClaims(std::size_t shard, AppendClaims claims) = 0;
    /// The fingerprint's request crashed two servers: notifies all other shards and entries.
    virtual void publishQuarantine(std::size_t shard, Fingerprint fingerprint) = 0;
    /// An agent reported quarantined fingerprints. During a log outage this is the only way they spread.
    virtual void onQuarantineReported(std::size_t shard, std::vector<Fingerprint> fingerprints) = 0;
    /// An agent reported that this version is in force there.
    virtual void onVersionReported(std::size_t shard, const AgentId& agent, ConfigVersion version) = 0;
    /// An agent requests the configuration if it is newer than `have`.
    virtual void onConfigurationRequested(std::size_t shard, const AgentId& agent, ConfigVersion have) = 0;
    virtual void onConfigurationReceived(ConfigurationSnapshot snapshot) = 0;
};

} // namespace peridotgrade
