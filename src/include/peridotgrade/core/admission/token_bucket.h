// Token bucket: the one implementation of limits on a rate.
#pragma once

#include "peridotgrade/core/base/time.h"

#include <algorithm>
#include <chrono>

namespace peridotgrade {

/// Limits of a bucket.
struct TokenRate {
    double perSecond = 0;
    /// Tokens in a full bucket.
    double capacity = 0;
};

/// Tokens that flow in at a rate and are taken by those who may. The rate is passed in, since the part of a
/// limit that an entry has changes over time. Not thread safe.
class TokenBucket {
public:
    TokenBucket() = default;
    TokenBucket(double tokens, TimePoint now)
        : held(tokens)
        , refilledAt(now)
    {
    }

    /// Adds what has flowed in since the last call, up to the capacity. Time never goes back.
    void refill(const TokenRate& rate, TimePoint now)
    {
        double seconds = std::chrono::duration<double>(now - this->refilledAt).count();
        this->held = std::min(this->held + rate.perSecond * std::max(seconds, 0.0), rate.capacity);
        this->refilledAt = std::max(now, this->refilledAt);
    }

    /// Below zero if the bucket is overdrawn.
    double tokens() const { return this->held; }
    void take(double count) { this->held -= count; }
    /// The next refill limits the tokens to the capacity.
    void add(double count) { this->held += count; }
    /// Reduces the tokens to at most that many.
    void limitTo(double capacity) { this->held = std::min(this->held, capacity); }

    /// Time in which that many tokens flow in; at most an hour.
    static Duration timeToGain(double tokens, double perSecond)
    {
        constexpr double Longest = 3600;
        double seconds = perSecond > 0 ? std::clamp(tokens / perSecond, 0.0, Longest) : Longest;
        return std::chrono::ceil<Duration>(std::chrono::duration<double> { seconds });
    }

private:
    double held = 0;
    TimePoint refilledAt {};
};

} // namespace peridotgrade
