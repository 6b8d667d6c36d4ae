// How many engines should do prefill, and which one to order next.
#pragma once

#include "peridotgrade/core/base/time.h"
#include "peridotgrade/core/serving/server_record.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace peridotgrade {

struct RoleAssignment {
    ServerId server;
    ServerRole role = ServerRole::Decode;
};

/// Keeps a share of the engines on prefill: enough that prompts never wait long, no more, since decode
/// memory is what runs out. Spread over data centres.
class RolePlan {
public:
    /// Prefill takes 0.1 s of an engine for an average prompt, decoding 3 s of an eighth of one.
    static constexpr double DefaultPrefillShare = 0.25;
    /// With fewer, the loss of one would stop all requests.
    static constexpr std::uint32_t MinPrefillEngines = 2;

    explicit RolePlan(double prefillShare = DefaultPrefillShare)
        : prefillShare(prefillShare)
    {
    }

    std::uint32_t prefillTarget(std::size_t engines) const;
    /// The next order towards the target; nothing if the engines are within it. `isBusy` engines (an order in
    /// progress or unanswered) count as what they are going to be.
    std::optional<RoleAssignment> nextAssignment(const std::vector<const ServerRecord*>& engines) const;

private:
    double prefillShare;
};

} // namespace peridotgrade
