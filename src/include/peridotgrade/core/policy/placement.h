// The concept of a placement policy, with its inputs.
#pragma once

#include "peridotgrade/core/base/ids.h"
#include "peridotgrade/core/base/random_source.h"
#include "peridotgrade/core/base/time.h"
#include "peridotgrade/core/messages/reservation_messages.h"
#include "peridotgrade/core/messages/session_messages.h"

#include <concepts>
#include <cstdint>
#include <optional>
#include <vector>

namespace peridotgrade {

/// One agent with its engine, as an entry shard knows it. Everything but the identity may be stale.
struct EngineView {
    AgentId agent;
    DataCentreId dataCentre;
    EngineRole role = EngineRole::Mixed;
    /// The last load received, either live with an answer or from a lagging report.
    LiveLoad load;
    TimePoint loadSeenAt;
    /// Attempts of this shard that currently request, hold or use something there.
    std::uint32_t ownInFlight = 0;
    /// Prompt tokens of the prefills that this shard has sent there since `loadSeenAt`.
    std::uint64_t ownPrefillTokensSinceReport = 0;
    /// Tokens of the current prompt that the engine's prefix cache is expected to hold.
    std::uint32_t cachedTokens = 0;
    /// Last known prefill speed, in prompt tokens per second.
    double prefillTokensPerSecond = 0;
};

/// The request for which engines are chosen.
struct PlacementRequest {
    ModelId model;
    DataCentreId entryDataCentre;
    std::uint32_t promptTokens = 0;
    std::uint32_t maxOutputTokens = 0;
    Priority priority = Priority::Normal;
    /// Time by which the prefill has to end for the first token to be in time.
    TimePoint prefillDue;
};

/// Chooses engines for a request. `chooseDecodeEngines` returns up to `count` indices into `engines`, best
/// first; all of them are sent a reservation request in parallel. `choosePrefillEngine` returns one index, or
/// nothing if no prefill would end in time. Both see only usable engines of the right model and role.
/// `ReservesBeforePrefill` tells whether a reservation is held before the prefill starts; if it is false, the
/// prefill comes first and the reservation is requested when it has finished.
template <typename P>
concept PlacementPolicy = requires(P policy, const PlacementRequest& request,
    const std::vector<EngineView>& engines, TimePoint now, RandomSource& random, std::uint32_t count)
{
    {
        P::ReservesBeforePrefill
        } -> std::convertible_to<bool>;
    {
        policy.chooseDecodeEngines(request, engines, now, random, count)
        } -> std::same_as<std::vector<std::size_t>>;
    {
        policy.choosePrefillEngine(request, engines, now, random)
        } -> std::same_as<std::optional<std::size_t>>;
};

} // namespace peridotgrade
