// The kinds of load runs.
#pragma once

#include "load_options.h"

#include <chrono>
#include <cstdint>

namespace peridotgrade::load {

/// Open loop: requests arrive as a Poisson process, whether earlier ones are answered or not.
struct OpenLoop {
    double requestsPerSecond = 10;
    /// Arrivals before the entry's cost is measured, so that streams of the usual number are open.
    std::chrono::seconds warmUp { 0 };
    std::chrono::seconds length { 10 };
};

/// Closed loop: so many streams are open at any time.
struct ClosedLoop {
    std::uint32_t streams = 50;
    std::chrono::seconds length { 10 };
};

/// Requests in turns through the entry and at the engine directly, one at a time.
struct Comparison {
    Endpoint engine;
    std::uint32_t pairs = 500;
};

/// Each prints its report and gives the exit status: failure if any answer was wrong.
int runOpenLoop(
    const LoadTarget& target, const LoadShape& shape, const LoadTargets& targets, const OpenLoop& loop);
int runClosedLoop(
    const LoadTarget& target, const LoadShape& shape, const LoadTargets& targets, const ClosedLoop& loop);
int runComparison(const LoadTarget& target, const LoadShape& shape, const Comparison& comparison);

} // namespace peridotgrade::load
