// When a prefill would end at an engine, from what the entry shard knows.
#pragma once

#include "peridotgrade/core/policy/placement.h"

#include <algorithm>

namespace peridotgrade {

/// Prompt tokens a second assumed of an engine that has not told its speed.
constexpr double DefaultPrefillTokensPerSecond = 10'000;

/// Time from now until a prefill of `promptTokens` would end at `engine`: what was waiting there when its
/// load was last seen, less the time since, plus what this shard has sent there meanwhile, plus the part of
/// the prompt that is not cached. A hint: other shards' work since then is not in it.
inline Duration expectedPrefillEnd(const EngineView& engine, std::uint32_t promptTokens, TimePoint now)
{
    double rate
        = engine.prefillTokensPerSecond > 0 ? engine.prefillTokensPerSecond : DefaultPrefillTokensPerSecond;
    Duration seen = engine.load.prefillBacklog;
    Duration left = std::max(Duration { 0 }, seen - (now - engine.loadSeenAt));
    std::uint32_t uncached = promptTokens - std::min(promptTokens, engine.cachedTokens);
    double ownSeconds = static_cast<double>(engine.ownPrefillTokensSince + uncached) / rate;
    return left + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(ownSeconds));
}

} // namespace peridotgrade
