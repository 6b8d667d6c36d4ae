// Invariants asserted inside the running program.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace peridotgrade {

/// What must always hold. Each has a counter of violations, shown at `/metrics`.
enum class Invariant : std::uint8_t {
    NoMemoryHeldForGoneRequest,
    NoRequestAnsweredTwice,
    AnswerIsWholeAndOwn,
    NotRunMeansNotRun,
    ActionAtMostOnce,
    NoNewWorkWhenLeaving,
    GracefulStopCutsNothing,
    ConfigurationNeverReverts,
    SameVersionSameConfiguration,
    OnlyConfirmedPlansOrdered,
    CapacityNotExceeded,
    CrashCapHolds,
    InternalConsistency,
};

/// One name for each invariant, as used in metrics and logs, for example `action_at_most_once`.
std::string_view nameOf(Invariant invariant);

/// All invariants, in order of declaration.
const std::vector<Invariant>& allInvariants();

/// Counts a violation of `invariant` if `holds` is false, and ends the process in builds with
/// PERIDOT_ABORT_ON_INVARIANT after printing `detail`. Thread safe.
void checkInvariant(bool holds, Invariant invariant, std::string_view detail);

/// How often `invariant` was found broken since the process started. Thread safe.
std::uint64_t violationsOf(Invariant invariant);

} // namespace peridotgrade
