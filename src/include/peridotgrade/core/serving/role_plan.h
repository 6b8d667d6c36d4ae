// Decides how many engines do prefill, and which engine changes its role next.
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

/// Keeps a share of the engines in the prefill role, spread over data centres: enough that prompts never wait
/// long, and no more, since decode memory is the scarce resource.
class RolePlan {
public:
    /// An average prompt takes 0.1 s of an engine for prefill, and 3 s of an eighth of an engine for decode.
    static constexpr double DefaultPrefillShare = 0.25;
    /// With fewer, the loss of one engine would stop all requests.
    static constexpr std::uint32_t MinPrefillEngines = 2;

    explicit RolePlan(double prefillShare = DefaultPrefillShare)
        : prefillShare(prefillShare)
    {
    }

    std::uint32_t prefillTarget(std::size_t engines) const;
    /// Returns the next role change towards the target; nothing if the target is met. Engines with a role
    /// change in progress or unanswered are to be passed with their future role.
    std::optional<RoleAssignment> nextAssignment(const std::vector<const ServerRecord*>& engines) const;

private:
    double prefillShare;
};

} // namespace peridotgrade
