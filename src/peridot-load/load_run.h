// The kinds of load runs.
#pragma once

#include "load_options.h"

#include <chrono>
#include <cstdint>

namespace peridotgrade::load {

/// Open loop: requests arrive as a Poisson process, regardless of whether earlier ones are answered.
struct OpenLoop {
    double requestsPerSecond = 10;
    /// Load before the entry's cost is measured, in which the number of open streams reaches its usual
    /// level.
    std::chrono::seconds warmUp { 0 };
    std::chrono::seconds length { 10 };
};

/// Closed loop: a fixed number of streams is kept open.
struct ClosedLoop {
    std::uint32_t streams = 50;
    std::chrono::seconds length { 10 };
};

/// Sends each request once through the entry and once directly to the engine, one after the other.
struct Comparison {
    Endpoint engine;
    std::uint32_t pairs = 500;
};

/// Each function prints its report and returns the exit status. The load loops fail if any answer was wrong,
/// the comparison if any request of a pair was not answered correctly.
int runOpenLoop(const LoadTarget& target, const LoadShape& shape, const LatencyObjectives& objectives,
    const OpenLoop& loop);
int runClosedLoop(const LoadTarget& target, const LoadShape& shape, const LatencyObjectives& objectives,
    const ClosedLoop& loop);
int runComparison(const LoadTarget& target, const LoadShape& shape, const Comparison& comparison);

} // namespace peridotgrade::load
