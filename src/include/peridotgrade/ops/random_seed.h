// The seed of a process's random generators.
#pragma once

#include <cstdint>

namespace peridotgrade {

/// A seed that no earlier run of any process has had, as far as the system's random device can tell. It makes
/// the incarnation, so it must not be chosen by whoever starts the program.
std::uint64_t drawSeed();

} // namespace peridotgrade
