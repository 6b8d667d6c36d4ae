// Ends of answers that follow each other closely.
#include "peridotgrade/core/serving/answer_ends.h"

#include <algorithm>
#include <chrono>
#include <iterator>

namespace peridotgrade {

namespace {

    // Ends are asked for while they are checked, which takes less.
    constexpr std::chrono::seconds Retention { 5 };
    // Longest time between two answers that a server ends one after the other.
    constexpr std::chrono::milliseconds SuccessionGap { 50 };

} // namespace

void AnswerEnds::add(TimePoint endedAt)
{
    std::erase_if(this->ends, [endedAt](TimePoint end) { return end < endedAt - Retention; });
    this->ends.push_back(endedAt);
}

bool AnswerEnds::isInLastSuccession(TimePoint endedAt) const
{
    auto first = std::find(this->ends.begin(), this->ends.end(), endedAt);
    if (first == this->ends.end())
        return false;
    auto last = first;
    while (first != this->ends.begin() && *first - *std::prev(first) <= SuccessionGap)
        --first;
    while (std::next(last) != this->ends.end() && *std::next(last) - *last <= SuccessionGap)
        ++last;
    bool hasLaterEnds = this->ends.back() - *last > 2 * SuccessionGap;
    return first != last && !hasLaterEnds;
}

} // namespace peridotgrade
