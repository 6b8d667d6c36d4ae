// Type-erased placement policy, so that the router is compiled once for all policies.
#pragma once

#include "peridotgrade/core/policy/placement.h"

#include <optional>
#include <utility>
#include <vector>

namespace peridotgrade {

/// The operations of the PlacementPolicy concept as virtual functions.
class PlacementChooser {
public:
    virtual ~PlacementChooser() = default;
    virtual bool reservesBeforePrefill() const = 0;
    virtual std::vector<std::size_t> chooseDecodeEngines(const PlacementRequest& request,
        const std::vector<EngineView>& engines, TimePoint now, RandomSource& random, std::uint32_t count)
        = 0;
    virtual std::optional<std::size_t> choosePrefillEngine(const PlacementRequest& request,
        const std::vector<EngineView>& engines, TimePoint now, RandomSource& random)
        = 0;
};

/// Forwards the calls to a policy of any type.
template <PlacementPolicy Policy> class PolicyChooser final : public PlacementChooser {
public:
    explicit PolicyChooser(Policy policy)
        : policy(std::move(policy))
    {
    }

    bool reservesBeforePrefill() const override { return Policy::ReservesBeforePrefill; }

    std::vector<std::size_t> chooseDecodeEngines(const PlacementRequest& request,
        const std::vector<EngineView>& engines, TimePoint now, RandomSource& random,
        std::uint32_t count) override
    {
        return this->policy.chooseDecodeEngines(request, engines, now, random, count);
    }

    std::optional<std::size_t> choosePrefillEngine(const PlacementRequest& request,
        const std::vector<EngineView>& engines, TimePoint now, RandomSource& random) override
    {
        return this->policy.choosePrefillEngine(request, engines, now, random);
    }

private:
    Policy policy;
};

} // namespace peridotgrade
