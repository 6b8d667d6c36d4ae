// One request of a load run and what became of it.
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

enum class LoadEnd : std::uint8_t { Answered, Wrong, Refused, Unknown, ConnectionFailed };

struct LoadResult {
    LoadEnd end = LoadEnd::ConnectionFailed;
    std::uint16_t status = 0;
    /// Code of the error, if there was one.
    std::string code;
    std::uint64_t tokens = 0;
    std::optional<Duration> firstToken;
    std::vector<Duration> gaps;
};

/// Draws requests; the same seed draws the same ones. Every prompt is different, so that no prefix cache
/// helps.
class LoadRequestSource {
public:
    explicit LoadRequestSource(LoadShape shape)
        : shape(shape)
        , random(shape.seed)
    {
    }

    LoadRequest next();
    /// Time to the next arrival of a Poisson process.
    Duration nextGap(double requestsPerSecond);

private:
    std::uint32_t drawSize(std::uint32_t median);

    const LoadShape shape;
    RandomSource random;
    std::uint64_t count = 0;
};

} // namespace peridotgrade::load
