// Computes the Retry-After delay of rejected callers.
#include "peridotgrade/core/serving/retry_after.h"

#include <algorithm>

namespace peridotgrade {

namespace {
    // Bursts last three to five seconds; on average half of one has passed when a caller is rejected.
    constexpr std::chrono::milliseconds MinRetryAfter { 1500 };
    constexpr std::chrono::milliseconds MaxRetryAfter { 4500 };
    // Callers ignore a delay of more than a third of their time; the margin covers the transit time of the
    // answer.
    constexpr double UsableTimeShare = 0.31;
} // namespace

std::chrono::milliseconds chooseRetryAfter(std::chrono::milliseconds timeLeft, RandomSource& random)
{
    auto usable = std::chrono::duration_cast<std::chrono::milliseconds>(timeLeft * UsableTimeShare);
    std::chrono::milliseconds longest = std::clamp(usable, std::chrono::milliseconds { 0 }, MaxRetryAfter);
    std::chrono::milliseconds shortest = std::min(MinRetryAfter, longest / 2);
    auto spread = static_cast<std::uint64_t>((longest - shortest).count() + 1);
    return shortest + std::chrono::milliseconds { random.below(spread) };
}

std::chrono::milliseconds notBefore(
    TimePoint now, std::optional<TimePoint> earliest, std::chrono::milliseconds retryAfter)
{
    // A quarter of the usual delay spreads the retries over about a second.
    constexpr int SpreadDivisor = 4;
    if (!earliest || *earliest <= now)
        return retryAfter;
    auto wait = std::chrono::ceil<std::chrono::milliseconds>(*earliest - now);
    return std::max(retryAfter, wait + retryAfter / SpreadDivisor);
}

} // namespace peridotgrade
