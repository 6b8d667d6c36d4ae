// Invariants that are checked at run time.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace peridotgrade {

/// Conditions that must always hold. Each has a counter of violations, exported at `/metrics`.
enum class Invariant : std::uint8_t {
    /// Nothing is held for a request or session that has ended.
    NoMemoryHeldForGoneRequest,
    NoRequestAnsweredTwice,
    /// An answer has every token of its own request exactly once, in order.
    AnswerIsWholeAndOwn,
    /// A request whose outcome is `NotRun` has not run.
    NotRunMeansNotRun,
    ActionAtMostOnce,
    /// A draining agent or engine gets no new work.
    NoNewWorkWhenLeaving,
    /// A graceful stop interrupts no request before its time limit.
    GracefulStopCutsNothing,
    ConfigurationNeverReverts,
    SameVersionSameConfiguration,
    /// Every command to an engine belongs to a confirmed plan.
    OnlyConfirmedPlansOrdered,
    CapacityNotExceeded,
    /// A request that has reached the limit of engine crashes does not run again.
    CrashCapHolds,
    /// Any other condition on the state of one component.
    InternalConsistency,
};

/// The name used in metrics and logs, for example `action_at_most_once`.
std::string_view nameOf(Invariant invariant);

/// All invariants, in order of declaration.
const std::vector<Invariant>& allInvariants();

/// If `holds` is false, counts a violation of `invariant` and logs `detail`; builds with
/// PERIDOT_ABORT_ON_INVARIANT then abort the process. Thread safe.
void checkInvariant(bool holds, Invariant invariant, std::string_view detail);

/// Number of violations of `invariant` since the process started. Thread safe.
std::uint64_t violationsOf(Invariant invariant);

} // namespace peridotgrade
