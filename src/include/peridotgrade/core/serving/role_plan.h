// Decides how many engines of a service do prefill, and which engine changes its role next.
#pragma once

#include "peridotgrade/core/base/time.h"
#include "peridotgrade/core/serving/engine_demand.h"
#include "peridotgrade/core/serving/server_record.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace peridotgrade {

/// What a change of role costs.
struct RoleChangeCost {
    /// How long the engine serves nothing.
    std::chrono::milliseconds switchTime { 0 };
    /// Entries that send it requests until they notice.
    std::uint32_t entries = 1;
};

/// Speed of each engine relative to the median of its service, more is faster; 1 for engines that are
/// missing.
using EngineSpeeds = std::map<ServerId, double>;

struct RoleAssignment {
    ServerId server;
    ServerRole role = ServerRole::Decode;
};

/// Splits the engines of one service so that both pools are saturated by the same rate of requests. The split
/// depends only on the engine time that a request takes in each role, so a leader that sees a part of the
/// traffic needs no reports of the other entries. Load that it answers: a rate near the capacity of the
/// engines, for days or for a burst; below that any split that keeps both roles serves all requests.
///
/// A change of role costs an engine for some seconds, so the split changes only for a gain that pays for it,
/// and only if several updates in a row agree. Before the first request a change costs nothing, so the split
/// of an idle pool follows an expected demand at once; from then on roles stay as they are until the demand
/// has been measured.
///
/// Engines of unequal speed count by their speed, in units of the mean engine of the service. The measured
/// times are those of the mean engine of each present pool, so the present split has the measured capacity
/// whatever the speeds: they decide how many engines change, and which, but never that some do. Engines of
/// equal speed count 1 each (docs/design/roles.md).
class RolePlan {
public:
    /// A prefill pool at this utilisation counts as saturated: requests that wait for prefill hold memory at
    /// decode engines meanwhile, so a rate above the capacity costs more there than in the admission queue.
    static constexpr double PrefillUtilisation = 0.65;
    /// Weight of the capacity that is left after the loss of an engine, half of it for either role.
    static constexpr double LossWeight = 0.5;
    /// A change has to raise the capacity by this share: measured demand varies by a few in a hundred, and
    /// each entry loses some calls until it knows of the change.
    static constexpr double MinGain = 0.08;
    /// Requests that an entry loses at a decode engine until it knows that the engine changes its role: the
    /// engine goes on granting memory and then rejects the run, so their prompts are read in vain.
    static constexpr double LostRequestsPerEntry = 4;
    /// The gain within this time has to exceed the engine time that the change costs.
    static constexpr std::chrono::seconds PaybackTime { 20 };
    /// No decision takes back an earlier one within this time.
    static constexpr std::chrono::seconds ReversalTime { 60 };
    /// Updates in a row that have to ask for a change in the same direction.
    static constexpr std::uint32_t AgreeingUpdates = 3;
    /// Engines that one decision moves to the other role, and engines that may change at the same time, as a
    /// share of all; at least one. The demand in the middle of a failure says little about the time after it.
    static constexpr double MaxChangingShare = 0.1;

    /// Engines that keep each role whatever was measured: the loss of a single one would stop all requests.
    static std::uint32_t minEnginesOfRole(std::size_t engines);
    /// The number of prefill engines that is worth most.
    static std::uint32_t bestSplit(std::size_t engines, const RoleDemand& demand);
    /// Requests per second that pools of so many mean engines carry.
    static double capacity(double prefill, double decode, const RoleDemand& demand);
    /// The capacity of a split, averaged with what is left of it after the loss of one engine.
    static double worth(std::size_t engines, double prefill, const RoleDemand& demand);

    /// Speeds for the calls that follow.
    void setSpeeds(EngineSpeeds newSpeeds) { this->speeds = std::move(newSpeeds); }

    /// Sets the target for a pool without requests from the expected demand.
    void updateIdle(const std::vector<const ServerRecord*>& engines, const RoleDemand& expected);
    /// Sets the target from the engines' roles and the measured demand. Engines with a role change in
    /// progress or unanswered are to be passed with their future role.
    void update(const std::vector<const ServerRecord*>& engines, const std::optional<RoleDemand>& demand,
        const RoleChangeCost& cost, TimePoint now);
    /// Returns the next role change towards the target; nothing if the target is met, or if enough engines
    /// are `changing`, that is on their way to the role that they are passed with. A role without its minimum
    /// does not wait for them.
    std::optional<RoleAssignment> nextAssignment(
        const std::vector<const ServerRecord*>& engines, std::size_t changing) const;
    /// Prefill engines that the last update aims at; if speeds differ, in mean engines beyond the present.
    std::uint32_t prefillTarget() const { return this->target; }

private:
    using Engines = std::vector<const ServerRecord*>;

    static bool isWorthChanging(
        std::size_t engines, double from, double to, const RoleDemand& demand, const RoleChangeCost& cost);
    double speedOf(const ServerRecord& engine) const;
    /// Mean engines that a pool of that role is worth.
    double unitsOf(const Engines& engines, ServerRole role) const;
    /// Sum of the speeds divided by the number of engines.
    double meanSpeed(const Engines& engines) const;
    /// The measured times, converted from the mean engine of each present pool to that of the service.
    RoleDemand demandOfMeanEngine(const Engines& engines, const RoleDemand& demand) const;
    /// The engine of that role whose change comes nearest to `missing` mean engines, from the data centre
    /// that has the most of them; null if no change brings the pools nearer to the target.
    const ServerRecord* engineToChange(const Engines& engines, ServerRole role, double missing) const;
    void countAgreement(int direction);
    /// True if a decision in that direction would take back an earlier one.
    bool isReversal(int direction, TimePoint now) const;
    static std::uint32_t maxChanging(std::size_t engines);

    EngineSpeeds speeds;
    std::uint32_t target = 0;
    /// The target in mean engines; nothing if only a role without its minimum asks for changes.
    std::optional<double> targetUnits;
    /// The target is that of a pool without requests, which is reached in one step.
    bool isIdle = false;
    /// -1 for fewer prefill engines, 1 for more, 0 for none of both; as of the last update.
    int lastDirection = 0;
    std::uint32_t agreeing = 0;
    /// Direction and time of the last decision.
    int decidedDirection = 0;
    TimePoint decidedAt {};
};

} // namespace peridotgrade
