// Outcome of a request as reported to its caller.
#pragma once

#include "peridotgrade/core/base/time.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace peridotgrade {

/// The outcome field of every final answer. `NotRun` guarantees that nothing was or will be run.
enum class Outcome : std::uint8_t { Answered, NotRun, Unknown };

/// `answered`, `not-run` or `unknown`.
std::string_view nameOf(Outcome outcome);

/// Why a request ended without an answer.
enum class RefusalReason : std::uint8_t {
    WorkspaceLimit,
    NoCapacity,
    DeadlineUnreachable,
    ModelNotServed,
    Quarantined,
    RetryBudgetSpent,
    BackendLost,
    LogUnavailable,
    KeyTooOld,
    KeyFromFuture,
    KeyConflict,
    ResultNotKept,
    ShuttingDown,
    NotReady,
    CallerGone,
};

/// Lower case with underscores, as used in metrics, logs and error bodies.
std::string_view nameOf(RefusalReason reason);

/// The final answer to a request that is given up. It is sent immediately.
struct Refusal {
    RefusalReason reason = RefusalReason::NoCapacity;
    Outcome outcome = Outcome::NotRun;
    /// Time after which a retry is worthwhile (Retry-After); empty if the same request will never be served.
    std::optional<std::chrono::milliseconds> retryAfter;
};

} // namespace peridotgrade
