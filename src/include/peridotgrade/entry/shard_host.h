// What an entry shard needs from the process around it.
#pragma once

#include "peridotgrade/core/actions/action_router.h"
#include "peridotgrade/core/base/ids.h"
#include "peridotgrade/core/messages/version_messages.h"

#include <cstddef>
#include <vector>

namespace peridotgrade {

/// Calls of a shard to its process. Made under the shard's lock: implementations must not block or call the
/// shard; they hand the work on.
class ShardHost {
public:
    virtual ~ShardHost() = default;

    /// Append to the claims stream and tell the shard with `onAppendResult`.
    virtual void appendClaims(std::size_t shard, AppendClaims claims) = 0;
    /// Two servers crashed on this: every other entry and shard has to know.
    virtual void publishQuarantine(std::size_t shard, Fingerprint fingerprint) = 0;
    /// An agent said so; in a log outage word of mouth is all there is.
    virtual void onQuarantineReported(std::size_t shard, std::vector<Fingerprint> fingerprints) = 0;
    /// An agent has this version in force.
    virtual void onVersionReported(std::size_t shard, const AgentId& agent, ConfigVersion version) = 0;
    /// An agent wants the configuration if it is newer than `have`.
    virtual void onConfigurationRequested(std::size_t shard, const AgentId& agent, ConfigVersion have) = 0;
    virtual void onConfigurationReceived(ConfigurationSnapshot snapshot) = 0;
};

} // namespace peridotgrade
