// A placement policy behind one interface, so that the router's code is compiled once for all policies.
#pragma once

#include "peridotgrade/core/policy/placement.h"

#include <optional>
#include <utility>
#include <vector>

namespace peridotgrade {

/// The calls of the PlacementPolicy concept.
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

/// Passes the calls on to a policy of any type.
template <PlacementPolicy Policy> class PolicyChooser final : public PlacementChooser {
public:
    explicit PolicyChooser(Policy policy)
        : policy(std::move(policy))
    {
    }

    bool reservesBeforePrefill() const override { return Policy::AsksPlaceFirst; }

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
