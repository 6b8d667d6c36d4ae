// What a load run is asked to do.
#pragma once

#include "peridotgrade/net/endpoint.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace peridotgrade::load {

/// Where requests go and what they look like.
struct LoadTarget {
    Endpoint entry;
    /// Key of the workspace.
    std::string key;
    std::string model;
    /// The entry's admin port, for its processor time; not read if the port is 0.
    Endpoint admin;
};

/// Sizes follow a log-normal distribution with these medians; both are cut off at ten times the median.
struct LoadShape {
    std::uint32_t promptTokens = 100;
    std::uint32_t outputTokens = 100;
    /// Of the distribution's logarithm; 0 gives every request the median.
    double sizeSpread = 0.5;
    std::uint64_t seed = 1;
};

/// The latency that makes an answer count.
struct LoadTargets {
    std::chrono::milliseconds firstToken { 820 };
    std::chrono::milliseconds interToken { 77 };
};

} // namespace peridotgrade::load
