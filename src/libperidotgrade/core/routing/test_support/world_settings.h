// Settings of a simulation in virtual time.
#pragma once

#include "peridotgrade/core/routing/model_router.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace peridotgrade::test {

struct WorldSettings {
    std::uint64_t seed = 1;
    std::size_t entries = 2;
    std::vector<EngineRole> engines { EngineRole::Prefill, EngineRole::Decode, EngineRole::Decode,
        EngineRole::Mixed };
    std::chrono::milliseconds leaseDuration { 1000 };
    ModelRouterSettings router;
};

} // namespace peridotgrade::test
