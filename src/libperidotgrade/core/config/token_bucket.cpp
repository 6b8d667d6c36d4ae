// Implementation of the token bucket.
#include "peridotgrade/core/config/token_bucket.h"

#include <algorithm>

namespace peridotgrade {

namespace {

    double secondsOf(Duration duration) { return std::chrono::duration<double>(duration).count(); }

} // namespace

TokenBucket::TokenBucket(double ratePerSecond, Duration burst, TimePoint now)
    : ratePerSecond(ratePerSecond)
    , burst(burst)
    , level(0)
    , filledAt(now)
{
    this->level = this->capacity();
}

double TokenBucket::capacity() const { return std::max(1.0, this->ratePerSecond * secondsOf(this->burst)); }

void TokenBucket::changeRate(double newRatePerSecond, TimePoint now)
{
    this->fill(now);
    this->ratePerSecond = newRatePerSecond;
    this->level = std::min(this->level, this->capacity());
}

void TokenBucket::fill(TimePoint now)
{
    if (now <= this->filledAt)
        return;
    this->level += this->ratePerSecond * secondsOf(now - this->filledAt);
    this->level = std::min(this->level, this->capacity());
    this->filledAt = now;
}

bool TokenBucket::hasAny(TimePoint now)
{
    this->fill(now);
    return this->level >= 1;
}

void TokenBucket::take(double amount, TimePoint now)
{
    this->fill(now);
    this->level -= amount;
}

Duration TokenBucket::waitTime(TimePoint now)
{
    this->fill(now);
    if (this->level >= 1)
        return Duration { 0 };
    std::chrono::duration<double> wait { (1 - this->level) / this->ratePerSecond };
    return std::chrono::duration_cast<Duration>(wait);
}

} // namespace peridotgrade
