// Invariants that are checked at run time.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace peridotgrade {

/// Conditions that must always hold. Each has a counter of violations, exported at `/metrics`.
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
