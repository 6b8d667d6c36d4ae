// Messages about places: memory and a batch slot for one attempt at a decode or mixed engine.
#pragma once

#include "peridotgrade/core/base/ids.h"
#include "peridotgrade/core/base/time.h"

#include <chrono>
#include <cstdint>

namespace peridotgrade {

/// Lower values come first.
enum class Priority : std::uint8_t { Urgent = 0, Normal = 1, Patient = 2 };

/// What an agent knows about its engine at the moment it answers; replaces any load report seen before.
struct LiveLoad {
    std::uint32_t placesFree = 0;
    std::uint32_t placesTotal = 0;
    std::uint32_t asksQueued = 0;
    /// Prefill work waiting or running, as the time it takes to finish it.
    std::chrono::milliseconds prefillBacklog { 0 };
    /// How fast the engine computes prompts; 0 if that is not known.
    double prefillTokensPerSecond = 0;
};

/// Entry to agent: reserve a place. The agent grants, queues for at most `maxQueueTime`, or refuses.
struct AskPlace {
    SessionEpoch epoch;
    AttemptId attempt;
    ModelId model;
    Fingerprint fingerprint;
    Priority priority = Priority::Normal;
    std::uint32_t promptTokens = 0;
    /// Upper bound of the tokens still to generate.
    std::uint32_t maxOutputTokens = 0;
    std::chrono::milliseconds maxQueueTime { 0 };
    /// True for a request suspected of crashing engines: granted only where no other suspect runs.
    bool isSuspect = false;
    ConfigVersion version;
};

/// Agent to entry: the place is held under the session's lease until released, used up or lapsed.
struct PlaceGranted {
    AttemptId attempt;
    LiveLoad load;
};

enum class PlaceRefusalReason : std::uint8_t {
    Full,
    Draining,
    ModelNotLoaded,
    SuspectPresent,
    TooLarge,
    EngineDown
};

/// Agent to entry: no place. `expectedWait` is when one is likely to be free, from the measured drain rate.
struct PlaceRefused {
    AttemptId attempt;
    PlaceRefusalReason reason = PlaceRefusalReason::Full;
    std::chrono::milliseconds expectedWait { 0 };
    LiveLoad load;
};

/// Entry to agent: the attempt is over (cancelled, lost elsewhere, not needed): free everything it holds
/// here, prefill results included, and forget its asks. Idempotent. Does not need a live session.
struct ReleaseAttempt {
    SessionEpoch epoch;
    AttemptId attempt;
};

} // namespace peridotgrade
