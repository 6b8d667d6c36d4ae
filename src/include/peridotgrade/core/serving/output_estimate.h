// Estimate of an answer's output tokens, from the caller's hint and the lengths of earlier answers.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace peridotgrade {

/// Corrects callers' hints by a factor that is learned for each route, within the caller's own limit. Hints
/// that were further from the answers of a route than its mean are not used. Not thread safe.
class OutputEstimate {
public:
    /// The output tokens of an answer that are to be expected; the parameters are those of `tokensToReserve`.
    std::uint32_t expectedTokens(
        const std::string& route, std::uint32_t hintTokens, std::uint32_t maxTokens) const;
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
        std::uint32_t hints = 0;
        /// Moving averages of how far the corrected hint and the mean were from the answer, as logarithms;
        /// both over answers with a hint.
        double hintError = 0;
        double meanError = 0;
    };
    static void noteErrors(RouteStatistics& statistics, std::uint32_t hintTokens, std::uint32_t outputTokens);

    std::map<std::string, RouteStatistics> routes;
};

} // namespace peridotgrade
