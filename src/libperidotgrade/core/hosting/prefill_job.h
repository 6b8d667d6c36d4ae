// A prefill at the engine: queued, running, or with its result retained for export.
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
    /// A result that is ready after this time is useless.
    TimePoint due;
    /// Estimated compute time; zero if the engine's speed is unknown.
    Duration cost {};
    TimePoint startedAt;
    /// Empty while queued.
    EngineStreamId stream;

    /// The latest start time with which the prefill still meets `due`.
    TimePoint latestStart() const { return this->due - this->cost; }
};

} // namespace peridotgrade
