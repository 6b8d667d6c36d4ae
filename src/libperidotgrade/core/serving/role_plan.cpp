// Split of engines over roles, and choice of the next engine that changes its role.
#include "peridotgrade/core/serving/role_plan.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>

namespace peridotgrade {

namespace {

    using Engines = std::vector<const ServerRecord*>;

    double secondsOf(Duration duration) { return std::chrono::duration<double>(duration).count(); }

    std::uint32_t countOf(const Engines& engines, ServerRole role)
    {
        return static_cast<std::uint32_t>(std::count_if(engines.begin(), engines.end(),
            [role](const ServerRecord* engine) { return engine->role == role; }));
    }

    // Learned speeds vary by a tenth or two. Changes that bring the prefill pool to within this many mean
    // engines of each other's result count as equally near.
    constexpr double EqualDistance = 0.25;

} // namespace

std::uint32_t RolePlan::minEnginesOfRole(std::size_t engines)
{
    constexpr std::uint32_t Spared = 2;
    return static_cast<std::uint32_t>(std::min<std::size_t>(Spared, engines / 2));
}

double RolePlan::capacity(double prefill, double decode, const RoleDemand& demand)
{
    constexpr double Shortest = 1e-6;
    double prefillTime = std::max(secondsOf(demand.prefill), Shortest);
    double decodeTime = std::max(secondsOf(demand.decode), Shortest);
    return std::min(prefill * PrefillUtilisation / prefillTime, decode / decodeTime);
}

double RolePlan::worth(std::size_t engines, double prefill, const RoleDemand& demand)
{
    double decode = static_cast<double>(engines) - prefill;
    double whole = capacity(prefill, decode, demand);
    double prefillLost = prefill > 1 ? capacity(prefill - 1, decode, demand) : 0;
    double decodeLost = decode > 1 ? capacity(prefill, decode - 1, demand) : 0;
    return (1 - LossWeight) * whole + LossWeight / 2 * (prefillLost + decodeLost);
}

std::uint32_t RolePlan::bestSplit(std::size_t engines, const RoleDemand& demand)
{
    std::uint32_t fewest = minEnginesOfRole(engines);
    std::uint32_t best = fewest;
    for (std::uint32_t prefill = fewest; prefill + fewest <= engines; ++prefill) {
        if (worth(engines, prefill, demand) > worth(engines, best, demand))
            best = prefill;
    }
    return best;
}

double RolePlan::speedOf(const ServerRecord& engine) const
{
    auto found = this->speeds.find(engine.id);
    return found == this->speeds.end() ? 1 : found->second;
}

double RolePlan::meanSpeed(const Engines& engines) const
{
    double sum = 0;
    for (const ServerRecord* engine : engines)
        sum += this->speedOf(*engine);
    return engines.empty() ? 1 : sum / static_cast<double>(engines.size());
}

double RolePlan::unitsOf(const Engines& engines, ServerRole role) const
{
    double sum = 0;
    for (const ServerRecord* engine : engines)
        sum += engine->role == role ? this->speedOf(*engine) : 0;
    return sum / this->meanSpeed(engines);
}

bool RolePlan::isWorthChanging(
    std::size_t engines, double from, double to, const RoleDemand& demand, const RoleChangeCost& cost)
{
    double before = worth(engines, from, demand);
    if (before <= 0)
        return true;
    double gain = worth(engines, to, demand) / before - 1;
    if (gain < MinGain)
        return false;
    double changes = std::abs(from - to);
    double lost
        = to > from ? LostRequestsPerEntry * cost.entries * secondsOf(demand.prefill + demand.decode) : 0;
    return gain * static_cast<double>(engines) * secondsOf(PaybackTime)
        > changes * (secondsOf(cost.switchTime) + lost);
}

bool RolePlan::isReversal(int direction, TimePoint now) const
{
    return this->decidedDirection == -direction && now < this->decidedAt + ReversalTime;
}

void RolePlan::countAgreement(int direction)
{
    this->agreeing = direction != 0 && direction == this->lastDirection ? this->agreeing + 1 : 1;
    this->lastDirection = direction;
}

std::uint32_t RolePlan::maxChanging(std::size_t engines)
{
    auto most = std::lround(MaxChangingShare * static_cast<double>(engines));
    return static_cast<std::uint32_t>(std::max<long>(most, 1));
}

void RolePlan::updateIdle(const Engines& engines, const RoleDemand& expected)
{
    this->isIdle = true;
    this->target = bestSplit(engines.size(), expected);
    this->targetUnits = this->target;
}

void RolePlan::update(const Engines& engines, const std::optional<RoleDemand>& demand,
    const RoleChangeCost& cost, TimePoint now)
{
    std::uint32_t prefill = countOf(engines, ServerRole::Prefill);
    auto decode = static_cast<std::uint32_t>(engines.size()) - prefill;
    std::uint32_t fewest = minEnginesOfRole(engines.size());
    this->isIdle = false;
    this->target = prefill;
    this->targetUnits.reset();
    if (prefill < fewest)
        this->target = fewest;
    else if (decode < fewest)
        this->target = static_cast<std::uint32_t>(engines.size()) - fewest;
    if (this->target != prefill || !demand)
        return;
    std::uint32_t best = bestSplit(engines.size(), *demand);
    bool isWorth = this->isWorthChanging(engines.size(), prefill, best, *demand, cost);
    int direction = best > prefill ? 1 : -1;
    this->countAgreement(isWorth ? direction : 0);
    if (!isWorth || this->agreeing < AgreeingUpdates || this->isReversal(direction, now))
        return;
    // Counted by speed, the change must pay too, in the same direction.
    double units = this->unitsOf(engines, ServerRole::Prefill);
    RoleDemand ofMeanEngine = this->demandOfMeanEngine(engines, *demand);
    double bestUnits = bestSplit(engines.size(), ofMeanEngine);
    bool isSameDirection = direction > 0 ? bestUnits > units : bestUnits < units;
    if (!isSameDirection || !isWorthChanging(engines.size(), units, bestUnits, ofMeanEngine, cost))
        return;
    double step = maxChanging(engines.size());
    this->targetUnits = std::clamp(bestUnits, units - std::min(units, step), units + step);
    this->target = static_cast<std::uint32_t>(std::lround(prefill + *this->targetUnits - units));
    // The next step needs an agreement of its own.
    this->agreeing = 0;
    this->decidedDirection = direction;
    this->decidedAt = now;
}

RoleDemand RolePlan::demandOfMeanEngine(const Engines& engines, const RoleDemand& demand) const
{
    auto scaled = [&](Duration time, ServerRole role) {
        double share = this->unitsOf(engines, role) / std::max(countOf(engines, role), 1U);
        return std::chrono::duration_cast<Duration>(time * share);
    };
    return { scaled(demand.prefill, ServerRole::Prefill), scaled(demand.decode, ServerRole::Decode) };
}

const ServerRecord* RolePlan::engineToChange(const Engines& engines, ServerRole role, double missing) const
{
    std::map<DataCentreId, std::size_t> counts;
    for (const ServerRecord* engine : engines)
        counts[engine->dataCentre] += engine->role == role ? 1 : 0;
    double mean = this->meanSpeed(engines);
    auto distance
        = [&](const ServerRecord& engine) { return std::abs(missing - this->speedOf(engine) / mean); };
    double least = std::numeric_limits<double>::infinity();
    for (const ServerRecord* engine : engines)
        least = engine->role == role ? std::min(least, distance(*engine)) : least;
    const ServerRecord* best = nullptr;
    for (const ServerRecord* engine : engines) {
        if (engine->role != role || distance(*engine) > least + EqualDistance)
            continue;
        if (best == nullptr || counts[engine->dataCentre] > counts[best->dataCentre])
            best = engine;
    }
    bool isNearer = best != nullptr && distance(*best) + EqualDistance <= missing;
    return isNearer ? best : nullptr;
}

std::optional<RoleAssignment> RolePlan::nextAssignment(const Engines& engines, std::size_t changing) const
{
    std::uint32_t prefill = countOf(engines, ServerRole::Prefill);
    auto decode = static_cast<std::uint32_t>(engines.size()) - prefill;
    std::uint32_t fewest = minEnginesOfRole(engines.size());
    bool isRoleShort = prefill < fewest || decode < fewest;
    if (!isRoleShort && !this->targetUnits)
        return std::nullopt;
    double units = this->unitsOf(engines, ServerRole::Prefill);
    bool isTooMany = isRoleShort ? decode < fewest : units > *this->targetUnits;
    bool isLast = !isRoleShort && (isTooMany ? prefill : decode) <= fewest;
    bool isBusy = !this->isIdle && !isRoleShort && changing >= maxChanging(engines.size());
    if (isLast || isBusy)
        return std::nullopt;
    // A role without its minimum takes an engine of any speed.
    double missing
        = isRoleShort ? std::numeric_limits<double>::infinity() : std::abs(units - *this->targetUnits);
    const ServerRecord* engine
        = this->engineToChange(engines, isTooMany ? ServerRole::Prefill : ServerRole::Decode, missing);
    if (engine == nullptr)
        return std::nullopt;
    return RoleAssignment { engine->id, isTooMany ? ServerRole::Decode : ServerRole::Prefill };
}

} // namespace peridotgrade
