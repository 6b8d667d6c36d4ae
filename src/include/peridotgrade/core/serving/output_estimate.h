// Estimate of an answer's output tokens, from the caller's hint and the lengths of earlier answers.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace peridotgrade {

/// Corrects callers' hints by a factor that is learned for each route, within the caller's own limit. Not
/// thread safe.
class OutputEstimate {
public:
    /// Tokens to reserve for an answer whose caller expects `hintTokens` (0 if it gave no hint) and allows at
    /// most `maxTokens`.
    std::uint32_t tokensToReserve(
        const std::string& route, std::uint32_t hintTokens, std::uint32_t maxTokens) const;
    /// Records a complete answer of `outputTokens`.
    void record(const std::string& route, std::uint32_t hintTokens, std::uint32_t outputTokens);

private:
    struct RouteStatistics {
        double ratio = 1;
        double meanTokens = 0;
        std::uint32_t samples = 0;
    };
    std::map<std::string, RouteStatistics> routes;
};

} // namespace peridotgrade
