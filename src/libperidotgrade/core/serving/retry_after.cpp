// Implementation of the wait told to rejected callers.
#include "peridotgrade/core/serving/retry_after.h"

#include <algorithm>

namespace peridotgrade {

namespace {
    // Rises of load last three to five seconds; half of one has passed, on average, when a caller meets it.
    constexpr std::chrono::milliseconds ShortestWait { 1500 };
    constexpr std::chrono::milliseconds LongestWait { 4500 };
    // Callers ignore a wait of more than a third of their time; the margin covers the way of the answer.
    constexpr double UsableShare = 0.31;
} // namespace

std::chrono::milliseconds chooseRetryAfter(std::chrono::milliseconds timeLeft, RandomSource& random)
{
    auto usable = std::chrono::duration_cast<std::chrono::milliseconds>(timeLeft * UsableShare);
    std::chrono::milliseconds longest = std::clamp(usable, std::chrono::milliseconds { 0 }, LongestWait);
    std::chrono::milliseconds shortest = std::min(ShortestWait, longest / 2);
    auto spread = static_cast<std::uint64_t>((longest - shortest).count() + 1);
    return shortest + std::chrono::milliseconds { random.below(spread) };
}

} // namespace peridotgrade
