// Messages that open, renew and end the sessions of entry shards at agents.
#pragma once

#include "peridotgrade/core/base/ids.h"
#include "peridotgrade/core/base/time.h"

#include <chrono>
#include <string>
#include <vector>

namespace peridotgrade {

/// What an engine is used for. Mixed engines do both for a request, without a transfer.
enum class EngineRole : std::uint8_t { Prefill, Decode, Mixed };

/// Entry to agent, first on every connection and again after SessionRefused.
struct OpenSession {
    EntryId entry;
    Incarnation incarnation;
    ConfigVersion version;
};

/// Agent to entry: the session is open. All holds of this entry shard's earlier sessions have been released.
struct SessionOpened {
    AgentId agent;
    Incarnation incarnation;
    SessionEpoch epoch;
    /// Holds lapse this long after the last renewal.
    std::chrono::milliseconds leaseDuration { 0 };
    ConfigVersion version;
    bool draining = false;
};

/// Entry to agent, while the entry holds anything there: one message renews all holds of the session. It
/// lists every attempt held, so that the agent frees whatever the entry no longer knows of.
struct RenewSession {
    SessionEpoch epoch;
    std::vector<AttemptId> held;
    ConfigVersion version;
};

/// Agent to entry: the epoch of a message is not that of a live session; everything held under it is gone.
struct SessionRefused {
    SessionEpoch epoch;
};

/// Agent to entry: the backend server is leaving; no new work is taken, what runs is finished.
struct Draining { };

} // namespace peridotgrade
