// One route of the operator's configuration: which requests it matches and how they are served.
#pragma once

#include "peridotgrade/core/base/ids.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace peridotgrade {

/// Whether a request may be repeated when an attempt fails.
enum class CallKind : std::uint8_t {
    /// May run any number of times.
    Idempotent,
    /// Runs at most once for each attempt of the caller.
    NonIdempotent,
    /// An event stream, which runs at most once unless the route says that it may be resumed.
    Streaming,
};

/// `idempotent`, `non_idempotent` or `streaming`.
std::string_view nameOf(CallKind kind);

/// One of the services over which a route spreads its requests.
struct WeightedService {
    ServiceId service;
    double weight = 1;
};

/// A route as the operator configured it.
struct ServiceRoute {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    CallKind kind = CallKind::NonIdempotent;
    /// The longest time that a request may be kept waiting.
    std::chrono::milliseconds timeout { 0 };
    /// An answer (for a stream: its first event) within this time is on time.
    std::chrono::milliseconds latencyTarget { 0 };
    /// Longest pause between two events of a stream that is on time.
    std::chrono::milliseconds gapTarget { 0 };
    /// 0 is the highest priority.
    std::uint32_t priority = 0;
    /// Maximum number of servers on which one attempt of the caller may run.
    std::uint32_t maxAttempts = 1;
    bool isResumable = false;
    /// Callers need no key.
    bool isPublic = false;
    /// Invariant: never empty in a configuration in force.
    std::vector<WeightedService> services;
};

} // namespace peridotgrade
