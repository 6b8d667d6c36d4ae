// The seed of a process's random number generators.
#pragma once

#include <cstdint>

namespace peridotgrade {

/// Returns a seed from the system's random device, so that no earlier run of any process is expected to have
/// had it. The process's incarnation is derived from the seed, so whoever starts the program must not choose
/// it.
std::uint64_t drawSeed();

} // namespace peridotgrade
