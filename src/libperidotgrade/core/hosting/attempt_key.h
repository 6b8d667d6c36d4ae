// Key of an attempt's reservations and prefills at an agent.
#pragma once

#include "peridotgrade/core/base/ids.h"

namespace peridotgrade {

/// An attempt together with the session it belongs to. Sessions never share a key, so a late message of an
/// ended session matches nothing.
struct AttemptKey {
    SessionEpoch epoch;
    AttemptId attempt;

    // clang-tidy 14 mistakes the zero of a rewritten comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const AttemptKey&, const AttemptKey&) = default;
};

} // namespace peridotgrade
