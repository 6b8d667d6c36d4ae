// Messages that open, renew and end the sessions of entry shards at agents.
#pragma once

#include "peridotgrade/core/base/ids.h"
#include "peridotgrade/core/base/time.h"

#include <chrono>
#include <string>
#include <vector>

namespace peridotgrade {

/// Role of an engine. Mixed engines run both prefill and decode of a request, without a KV transfer.
enum class EngineRole : std::uint8_t { Prefill, Decode, Mixed };

/// Entry to agent: the first message on every connection, sent again after SessionRefused.
struct OpenSession {
    EntryId entry;
    Incarnation incarnation;
    ConfigVersion version;
};

/// Agent to entry: the session is open. Everything held under earlier sessions of this entry shard has been
/// released.
struct SessionOpened {
    AgentId agent;
    Incarnation incarnation;
    SessionEpoch epoch;
    /// Everything held under the session is released this long after the last renewal.
    std::chrono::milliseconds leaseDuration { 0 };
    ConfigVersion version;
    bool draining = false;
};

/// Entry to agent, while the entry holds anything there: one message renews the lease of the session. It
/// lists every attempt that holds something, so that the agent frees whatever the entry no longer knows of.
struct RenewSession {
    SessionEpoch epoch;
    std::vector<AttemptId> held;
    ConfigVersion version;
};

/// Agent to entry: the epoch of a message is not that of a live session; everything held under it has been
/// released.
struct SessionRefused {
    SessionEpoch epoch;
};

/// Agent to entry: the backend server is draining; it takes no new work and finishes what is running.
struct Draining { };

} // namespace peridotgrade
