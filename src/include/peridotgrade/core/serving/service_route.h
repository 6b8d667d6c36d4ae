// One route of the operator's configuration: which requests it takes and how they are to be served.
#pragma once

#include "peridotgrade/core/base/ids.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace peridotgrade {

/// What may be repeated when an attempt fails.
enum class CallKind : std::uint8_t {
    /// May run any number of times.
    Idempotent,
    /// Runs at most once for each attempt of the caller.
    NonIdempotent,
    /// An event stream; at most once, unless the route says that it may be resumed.
    Streaming,
};

/// `idempotent`, `non_idempotent` or `streaming`.
std::string_view nameOf(CallKind kind);

/// One service of a route that spreads its requests.
struct WeightedService {
    ServiceId service;
    double weight = 1;
};

/// A route as the operator wrote it.
struct ServiceRoute {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    CallKind kind = CallKind::NonIdempotent;
    /// The longest time that a request may be kept waiting.
    std::chrono::milliseconds timeout { 0 };
    /// Answers (streams: their first event) count fully within this time.
    std::chrono::milliseconds latencyTarget { 0 };
    /// Longest pause between two events of a stream that is on time.
    std::chrono::milliseconds gapTarget { 0 };
    /// 0 is the most important.
    std::uint32_t priority = 0;
    /// Servers that one attempt of the caller may run on.
    std::uint32_t maxAttempts = 1;
    bool isResumable = false;
    /// Invariant: never empty in a configuration in force.
    std::vector<WeightedService> services;
};

} // namespace peridotgrade
