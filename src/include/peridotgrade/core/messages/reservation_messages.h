// Messages about reservations: memory and a batch slot for one attempt at a decode or mixed engine.
#pragma once

#include "peridotgrade/core/base/ids.h"
#include "peridotgrade/core/base/time.h"

#include <chrono>
#include <cstdint>

namespace peridotgrade {

/// Lower values are served first.
enum class Priority : std::uint8_t { Urgent = 0, Normal = 1, Patient = 2 };

/// Load of the agent's engine at the time of the message; replaces any load report seen before.
struct LiveLoad {
    /// Batch slots that can be reserved now; 0 while the engine is not ready or the agent is draining.
    std::uint32_t placesFree = 0;
    /// Batch slots of the engine.
    std::uint32_t placesTotal = 0;
    /// Reservation requests in the agent's queue.
    std::uint32_t asksQueued = 0;
    /// Time that the engine needs to finish the prefills that are queued or running.
    std::chrono::milliseconds prefillBacklog { 0 };
    /// Prefill throughput of the engine; 0 if it is unknown.
    double prefillTokensPerSecond = 0;
};

/// Entry to agent: make a reservation. The agent grants it, queues the request for at most `maxQueueTime`, or
/// refuses it.
struct ReservationRequest {
    SessionEpoch epoch;
    AttemptId attempt;
    ModelId model;
    Fingerprint fingerprint;
    Priority priority = Priority::Normal;
    std::uint32_t promptTokens = 0;
    /// Upper bound of the tokens that are still to be generated.
    std::uint32_t maxOutputTokens = 0;
    std::chrono::milliseconds maxQueueTime { 0 };
    /// True for a request that is suspected of crashing engines: granted only where no other suspect runs.
    bool isSuspect = false;
    ConfigVersion version;
};

/// Agent to entry: the reservation is held under the session's lease until it is released, its decode ends or
/// it expires.
struct ReservationGranted {
    AttemptId attempt;
    LiveLoad load;
};

enum class ReservationRefusalReason : std::uint8_t {
    Full,
    Draining,
    ModelNotLoaded,
    SuspectPresent,
    TooLarge,
    EngineDown
};

/// Agent to entry: there is no reservation. `expectedWait` is the time until one is likely to be available,
/// estimated from the measured drain rate.
struct ReservationRefused {
    AttemptId attempt;
    ReservationRefusalReason reason = ReservationRefusalReason::Full;
    std::chrono::milliseconds expectedWait { 0 };
    LiveLoad load;
};

/// Entry to agent: the attempt is over (cancelled, lost elsewhere, not needed). The agent frees everything
/// that it holds for the attempt, prefill results included, and drops its queued reservation requests.
/// Idempotent. Does not need a live session.
struct ReleaseAttempt {
    SessionEpoch epoch;
    AttemptId attempt;
};

} // namespace peridotgrade
