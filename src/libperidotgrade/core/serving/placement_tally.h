// What became of the requests of a play of placement.
#pragma once

#include "peridotgrade/core/base/time.h"

#include <optional>
#include <string>

namespace peridotgrade::placement_play {

struct Tally {
    int requests = 0;
    int onTime = 0;
    int late = 0;
    int rejected = 0;
    int fastStreams = 0;
    int slowStreams = 0;
    int fastPrefills = 0;
    int slowPrefills = 0;
    double streamTime = 0;
    /// When the speeds were known to the entries; nothing if that never happened.
    std::optional<TimePoint> speedsKnownAt;

    double onTimeShare() const { return static_cast<double>(this->onTime) / this->requests; }
    double meanStream() const { return this->streamTime / (this->onTime + this->late); }
    std::string text() const
    {
        return "on time " + std::to_string(this->onTimeShare()) + ", rejected "
            + std::to_string(this->rejected) + ", fast and slow streams " + std::to_string(this->fastStreams)
            + " " + std::to_string(this->slowStreams) + ", prefills " + std::to_string(this->fastPrefills)
            + " " + std::to_string(this->slowPrefills) + ", mean stream "
            + std::to_string(this->meanStream());
    }
};

} // namespace peridotgrade::placement_play
