// Names what an attempt holds at an agent.
#pragma once

#include "peridotgrade/core/base/ids.h"

namespace peridotgrade {

/// An attempt under the session that brought it. Two sessions never share a key, so that a late message of an
/// ended session finds nothing.
struct AttemptKey {
    SessionEpoch epoch;
    AttemptId attempt;

    // clang-tidy 14 takes the zero of a rewritten comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const AttemptKey&, const AttemptKey&) = default;
};

} // namespace peridotgrade
