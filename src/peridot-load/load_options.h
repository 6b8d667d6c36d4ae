// Options common to all kinds of load runs.
#pragma once

#include "peridotgrade/net/endpoint.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace peridotgrade::load {

/// Endpoints, credentials and model of the requests.
struct LoadTarget {
    Endpoint entry;
    /// API key of the workspace.
    std::string key;
    std::string model;
    /// The entry's admin endpoint, from which its metrics are read; not read if the port is 0.
    Endpoint admin;
};

/// Prompt and output sizes follow a log-normal distribution with these medians, truncated at ten times the
/// median.
struct LoadShape {
    std::uint32_t promptTokens = 100;
    std::uint32_t outputTokens = 100;
    /// Standard deviation of the logarithm of the sizes; with 0 every request has the median size.
    double sizeSpread = 0.5;
    std::uint64_t seed = 1;
};

/// Latency objectives that an answer must meet to count towards goodput.
struct LatencyObjectives {
    std::chrono::milliseconds firstToken { 820 };
    std::chrono::milliseconds interToken { 77 };
};

} // namespace peridotgrade::load
