// A prefill at the engine: waiting, running, or kept for export.
#pragma once

#include "attempt_key.h"
#include "capacity.h"
#include "peridotgrade/core/base/time.h"
#include "peridotgrade/core/hosting/engine_command.h"
#include "peridotgrade/core/hosting/host_action.h"
#include "peridotgrade/core/messages/stream_messages.h"

namespace peridotgrade {

enum class PrefillState : std::uint8_t { Queued, Running, Kept };

struct PrefillJob {
    AttemptKey key;
    ConnectionId connection;
    StartPrefill request;
    EngineResources resources;
    PrefillState state = PrefillState::Queued;
    std::uint64_t arrival = 0;
    /// A result after this is useless.
    TimePoint due;
    /// How long the engine computes, as far as is known.
    Duration cost {};
    TimePoint startedAt;
    /// Empty while queued.
    EngineStreamId stream;

    /// The last moment at which a start still ends in time.
    TimePoint latestStart() const { return this->due - this->cost; }
};

} // namespace peridotgrade
