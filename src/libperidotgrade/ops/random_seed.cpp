// Reads the system's random device.
#include "peridotgrade/ops/random_seed.h"

#include <random>

namespace peridotgrade {

std::uint64_t drawSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

} // namespace peridotgrade
