// Load, refusal and backoff bookkeeping of engines.
#include "peridotgrade/core/serving/engine_load.h"

#include "peridotgrade/core/base/invariant.h"

#include <algorithm>
#include <cmath>

namespace peridotgrade {

namespace {
    // Penalty of an engine in another data centre, in tokens: two thirds of a request, so that engines of the
    // own data centre are preferred but not filled first.
    constexpr std::uint64_t OtherDataCentreTokens = 2000;
    // `MaxBackoff` is reached after this many doublings.
    constexpr std::uint32_t MaxDoublings = 4;
} // namespace

void EngineLoad::reserve(const ServerId& server, std::uint32_t tokens)
{
    this->engines[server].tokens += tokens;
}

void EngineLoad::release(const ServerId& server, std::uint32_t tokens)
{
    auto found = this->engines.find(server);
    // `forget` may have removed the server in the meantime.
    if (found == this->engines.end())
        return;
    found->second.tokens -= std::min<std::uint64_t>(tokens, found->second.tokens);
    found->second.refusedUntil = {};
}

void EngineLoad::noteGranted(const ServerId& server)
{
    Engine& engine = this->engines[server];
    engine.pendingRequests -= std::min<std::uint32_t>(engine.pendingRequests, 1);
    engine.wasLastRefused = false;
}

void EngineLoad::noteRefusal(const ServerId& server, std::uint32_t tokens, TimePoint now)
{
    Engine& engine = this->engines[server];
    engine.pendingRequests -= std::min<std::uint32_t>(engine.pendingRequests, 1);
    engine.wasLastRefused = true;
    bool isOld = engine.refusedUntil <= now;
    engine.refusedTokens = isOld ? tokens : std::min(engine.refusedTokens, tokens);
    engine.refusedUntil = now + RefusalLifetime;
}

void EngineLoad::noteUnusable(const ServerId& server, TimePoint now)
{
    Engine& engine = this->engines[server];
    std::uint32_t doublings = std::min(engine.consecutiveUnusable++, MaxDoublings);
    std::chrono::milliseconds pause = InitialBackoff * (1 << doublings);
    engine.unusableUntil = now + std::min(pause, MaxBackoff);
}

void EngineLoad::noteSuperseded(const ServerId& server, TimePoint now)
{
    this->engines[server].unusableUntil = now + MaxBackoff;
}

void EngineLoad::noteChangingRole(const ServerId& server, TimePoint until)
{
    this->engines[server].unusableUntil = until;
}

void EngineLoad::noteAnnouncedRoleChange(const ServerId& server, TimePoint until)
{
    this->engines[server].announcedUntil = until;
}

void EngineLoad::noteServed(const ServerId& server)
{
    Engine& engine = this->engines[server];
    engine.consecutiveUnusable = 0;
    engine.unusableUntil = {};
}

std::vector<OpenEngine> EngineLoad::openAmong(const std::vector<const ServerRecord*>& candidates,
    const DataCentreId& ownDataCentre, TimePoint now) const
{
    std::vector<OpenEngine> open;
    open.reserve(candidates.size());
    for (const ServerRecord* record : candidates) {
        auto found = this->engines.find(record->id);
        bool isKnown = found != this->engines.end();
        if (isKnown && now < std::max(found->second.unusableUntil, found->second.announcedUntil))
            continue;
        if (isKnown && found->second.wasLastRefused && found->second.pendingRequests > 0)
            continue;
        OpenEngine& engine = open.emplace_back();
        engine.record = record;
        if (isKnown && now < found->second.refusedUntil)
            engine.sizeLimit = found->second.refusedTokens * RetrySizeRatio;
        engine.tokens = isKnown ? found->second.tokens : 0;
        if (this->backlog != nullptr)
            engine.backlog = this->backlog->tokensAt(*record, now);
        engine.distance = record->dataCentre != ownDataCentre ? OtherDataCentreTokens : 0;
        if (this->pace != nullptr) {
            ServerOutlook outlook = this->pace->outlook(*record, now);
            engine.factor = outlook.factor;
            engine.isLate = outlook.breaksPauseLimit;
        }
    }
    return open;
}

std::optional<ServerId> EngineLoad::choose(const std::vector<const ServerRecord*>& candidates,
    const DataCentreId& ownDataCentre, std::uint32_t tokens, TimePoint now, RandomSource& random,
    const SavedTokens& saved) const
{
    return this->chooseFrom(
        this->openAmong(candidates, ownDataCentre, now), tokens, random,
        [](const ServerRecord&) { return true; }, saved);
}

std::optional<ServerId> EngineLoad::best(std::vector<const OpenEngine*> fitting, std::uint32_t tokens,
    RandomSource& random, const SavedTokens& saved) const
{
    bool isAnyInTime
        = std::any_of(fitting.begin(), fitting.end(), [](const OpenEngine* each) { return !each->isLate; });
    if (isAnyInTime)
        std::erase_if(fitting, [](const OpenEngine* each) { return each->isLate; });
    bool areEqual = std::all_of(
        fitting.begin(), fitting.end(), [](const OpenEngine* each) { return each->factor == 1; });
    return areEqual ? fewestTokens(fitting, random) : this->leastTime(fitting, tokens, saved, random);
}

std::optional<ServerId> EngineLoad::fewestTokens(
    const std::vector<const OpenEngine*>& open, RandomSource& random)
{
    std::optional<ServerId> best;
    std::uint64_t bestCost = 0;
    std::uint32_t ties = 0;
    for (const OpenEngine* candidate : open) {
        std::uint64_t cost = candidate->tokens + candidate->backlog + candidate->distance;
        if (!best || cost < bestCost) {
            best = candidate->record->id;
            bestCost = cost;
            ties = 1;
        } else if (cost == bestCost && random.below(++ties) == 0) {
            best = candidate->record->id;
        }
    }
    return best;
}

std::optional<ServerId> EngineLoad::leastTime(const std::vector<const OpenEngine*>& open,
    std::uint32_t tokens, const SavedTokens& saved, RandomSource& random) const
{
    std::optional<ServerId> best;
    double bestKey = 0;
    for (const OpenEngine* candidate : open) {
        std::uint32_t cached = saved ? std::min(saved(*candidate->record), tokens) : 0;
        double ahead = static_cast<double>(candidate->tokens) + std::max(tokens - cached, 1U);
        double cost = ahead * candidate->factor + static_cast<double>(candidate->distance);
        // The least of exponential variates is each with a probability proportional to its rate.
        double key = -std::log(1 - random.unit()) * std::pow(cost, this->selectivity);
        if (!best || key < bestKey) {
            best = candidate->record->id;
            bestKey = key;
        }
    }
    return best;
}

std::optional<TimePoint> EngineLoad::nextRetryAt(TimePoint now) const
{
    std::optional<TimePoint> next;
    for (const auto& [id, engine] : this->engines) {
        for (TimePoint until : { engine.refusedUntil, engine.unusableUntil, engine.announcedUntil }) {
            if (until > now && (!next || until < *next))
                next = until;
        }
    }
    return next;
}

std::uint64_t EngineLoad::tokensAt(const ServerId& server) const
{
    auto found = this->engines.find(server);
    return found == this->engines.end() ? 0 : found->second.tokens;
}

} // namespace peridotgrade
