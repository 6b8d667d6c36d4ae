// Figures of one benchmark run.
#pragma once

#include <cstdint>
#include <vector>

namespace peridotgrade::bench {

/// Counts over the requests that arrived after the warm-up, and shares made of them.
struct RunResult {
    std::uint64_t offered = 0;
    std::uint64_t good = 0;
    /// Answered whole, but not within both targets.
    std::uint64_t late = 0;
    std::uint64_t refused = 0;
    /// Given up after tokens were delivered.
    std::uint64_t broken = 0;
    std::uint64_t retries = 0;
    std::uint64_t retriesAdmitted = 0;
    std::uint64_t prefillTokens = 0;
    std::uint64_t prefillTokensWasted = 0;
    std::uint64_t messages = 0;
    double idealShare = 1;
    /// Good answers by second of arrival, over the whole run, for recovery after a fault.
    std::vector<std::uint32_t> goodBySecond;
    std::vector<std::uint32_t> offeredBySecond;

    double goodShare() const { return ratio(this->good, this->offered); }
    double shareOfIdeal() const { return this->goodShare() / this->idealShare; }
    double lateShareOfAdmitted() const { return ratio(this->late, this->good + this->late + this->broken); }
    double wastedShare() const { return ratio(this->prefillTokensWasted, this->prefillTokens); }
    double retryAdmissionShare() const { return ratio(this->retriesAdmitted, this->retries); }
    double messagesPerRequest() const { return ratio(this->messages, this->offered); }

private:
    static double ratio(std::uint64_t part, std::uint64_t whole)
    {
        return whole == 0 ? 0.0 : static_cast<double>(part) / static_cast<double>(whole);
    }
};

} // namespace peridotgrade::bench
