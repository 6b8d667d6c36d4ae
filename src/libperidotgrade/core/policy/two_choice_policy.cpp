// Random choice of decode engines and expected end of prefills.
#include "peridotgrade/core/policy/two_choice_policy.h"

#include <algorithm>
#include <tuple>

namespace peridotgrade {

namespace {

    // Assumed until an engine has reported its speed.
    constexpr double DefaultPrefillTokensPerSecond = 10000;

    struct RankedEngine {
        /// Always false: with a preference for its own data centre an entry overloads half of the engines.
        bool isInOtherDataCentre = false;
        std::uint64_t draw = 0;
        std::size_t index = 0;
    };

    Duration expectedPrefillEnd(const PlacementRequest& request, const EngineView& engine)
    {
        double speed = engine.prefillTokensPerSecond;
        if (speed <= 0)
            speed = DefaultPrefillTokensPerSecond;
        std::uint32_t uncached = request.promptTokens - std::min(request.promptTokens, engine.cachedTokens);
        double tokens
            = static_cast<double>(uncached) + static_cast<double>(engine.ownPrefillTokensSinceReport);
        std::chrono::duration<double> compute { tokens / speed };
        return engine.load.prefillBacklog + std::chrono::duration_cast<Duration>(compute);
    }

} // namespace

std::vector<std::size_t> TwoChoicePolicy::chooseDecodeEngines(const PlacementRequest&,
    const std::vector<EngineView>& engines, TimePoint, RandomSource& random, std::uint32_t count)
{
    std::vector<RankedEngine> ranked;
    for (std::size_t i = 0; i < engines.size(); ++i)
        ranked.push_back({ false, random.next(), i });
    std::sort(ranked.begin(), ranked.end(), [](const RankedEngine& left, const RankedEngine& right) {
        return std::tie(left.isInOtherDataCentre, left.draw)
            < std::tie(right.isInOtherDataCentre, right.draw);
    });
    if (ranked.size() > count)
        ranked.resize(count);
    std::vector<std::size_t> choices;
    for (const RankedEngine& engine : ranked)
        choices.push_back(engine.index);
    return choices;
}

std::optional<std::size_t> TwoChoicePolicy::choosePrefillEngine(const PlacementRequest& request,
    const std::vector<EngineView>& engines, TimePoint now, RandomSource& random)
{
    std::optional<std::size_t> best;
    Duration bestEnd {};
    // The scan starts at a random engine, so that equal engines share the load.
    std::size_t start = engines.empty() ? 0 : random.below(engines.size());
    for (std::size_t i = 0; i < engines.size(); ++i) {
        std::size_t index = (start + i) % engines.size();
        Duration end = expectedPrefillEnd(request, engines[index]);
        bool endsInTime = now + end <= request.prefillDue;
        if (endsInTime && (!best || end < bestEnd)) {
            best = index;
            bestEnd = end;
        }
    }
    return best;
}

} // namespace peridotgrade
