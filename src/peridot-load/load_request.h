// One request of a load run, its result, and the generator of requests.
#pragma once

#include "load_options.h"

#include "peridotgrade/core/base/random_source.h"
#include "peridotgrade/core/base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace peridotgrade::load {

struct LoadRequest {
    std::string prompt;
    std::uint32_t maxTokens = 16;
};

enum class LoadOutcome : std::uint8_t { Answered, Wrong, Refused, Unknown, ConnectionFailed };

struct LoadResult {
    LoadOutcome outcome = LoadOutcome::ConnectionFailed;
    std::uint16_t status = 0;
    /// Error code of the response, or detail of a connection error; empty if there was none.
    std::string code;
    std::uint64_t tokens = 0;
    std::optional<Duration> firstToken;
    std::vector<Duration> gaps;
};

/// Generates random requests, reproducibly for the same seed. All prompts differ, so that prefix caches
/// have no effect.
class LoadRequestSource {
public:
    explicit LoadRequestSource(LoadShape shape)
        : shape(shape)
        , random(shape.seed)
    {
    }

    LoadRequest next();
    /// Draws the time to the next arrival of a Poisson process.
    Duration nextGap(double requestsPerSecond);

private:
    std::uint32_t drawSize(std::uint32_t median);

    const LoadShape shape;
    RandomSource random;
    std::uint64_t count = 0;
};

} // namespace peridotgrade::load
