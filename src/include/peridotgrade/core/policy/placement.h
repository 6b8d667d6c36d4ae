// What a placement policy sees and decides, as one concept that baselines and candidates satisfy.
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

/// One agent with its engine, as an entry shard knows it. All but the identity may be stale: a hint.
struct EngineView {
    AgentId agent;
    DataCentreId dataCentre;
    EngineRole role = EngineRole::Mixed;
    /// The last load heard, live (on an answer) or reported (with a lag).
    LiveLoad load;
    TimePoint loadSeenAt;
    /// Attempts of this shard that ask, hold or use something there now.
    std::uint32_t ownInFlight = 0;
    /// Prompt tokens of this shard's prefills sent there since `loadSeenAt`.
    std::uint64_t ownPrefillTokensSince = 0;
    /// Tokens of the prompt at hand that the engine's prefix cache is believed to hold.
    std::uint32_t cachedTokens = 0;
    /// Prefill speed last seen, in prompt tokens a second.
    double prefillTokensPerSecond = 0;
};

/// The request that is to be placed.
struct PlacementRequest {
    ModelId model;
    DataCentreId entryDataCentre;
    std::uint32_t promptTokens = 0;
    std::uint32_t maxOutputTokens = 0;
    Priority priority = Priority::Normal;
    /// When the prefill has to have ended for the first token to be in time.
    TimePoint prefillDue;
};

/// Chooses engines for a request. `decodeChoices` gives up to `count` indices into `engines`, best first, to
/// be asked for a place at once. `prefillChoice` gives one index, or nothing if none will end in time. Both
/// see only usable engines of the right model and role. `AsksPlaceFirst` tells whether a place is held before
/// the prefill starts; where it is false the prefill comes first and the place is sought when it is done.
template <typename P>
concept PlacementPolicy = requires(P policy, const PlacementRequest& request,
    const std::vector<EngineView>& engines, TimePoint now, RandomSource& random, std::uint32_t count)
{
    {
        P::AsksPlaceFirst
        } -> std::convertible_to<bool>;
    {
        policy.decodeChoices(request, engines, now, random, count)
        } -> std::same_as<std::vector<std::size_t>>;
    {
        policy.prefillChoice(request, engines, now, random)
        } -> std::same_as<std::optional<std::size_t>>;
};

} // namespace peridotgrade
