// Counts and ratios of one benchmark run.
#pragma once

#include <cstdint>
#include <vector>

namespace peridotgrade::bench {

/// Counts and ratios derived from them. `offered`, `good`, `late`, `refused` and `broken` count the requests
/// that arrived after the warm-up; all other counts cover the whole run.
struct RunResult {
    std::uint64_t offered = 0;
    std::uint64_t good = 0;
    /// Completed, but not within both latency targets.
    std::uint64_t late = 0;
    std::uint64_t refused = 0;
    /// Failed after tokens had been delivered.
    std::uint64_t broken = 0;
    std::uint64_t retries = 0;
    std::uint64_t retriesAdmitted = 0;
    std::uint64_t prefillTokens = 0;
    std::uint64_t prefillTokensWasted = 0;
    std::uint64_t messages = 0;
    double idealShare = 1;
    /// Good answers by second of arrival, warm-up included; they show the recovery after a fault.
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
