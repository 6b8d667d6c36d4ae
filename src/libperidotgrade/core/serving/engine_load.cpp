// Load, refusal and backoff bookkeeping of engines.
#include "peridotgrade/core/serving/engine_load.h"

#include "peridotgrade/core/base/invariant.h"

#include <algorithm>

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

void EngineLoad::noteServed(const ServerId& server)
{
    Engine& engine = this->engines[server];
    engine.consecutiveUnusable = 0;
    engine.unusableUntil = {};
}

std::optional<ServerId> EngineLoad::choose(const std::vector<const ServerRecord*>& candidates,
    const DataCentreId& ownDataCentre, std::uint32_t tokens, TimePoint now, RandomSource& random) const
{
    std::optional<ServerId> best;
    std::uint64_t bestCost = 0;
    std::uint32_t ties = 0;
    for (const ServerRecord* candidate : candidates) {
        auto found = this->engines.find(candidate->id);
        bool isKnown = found != this->engines.end();
        if (isKnown && now < found->second.unusableUntil)
            continue;
        if (isKnown && found->second.wasLastRefused && found->second.pendingRequests > 0)
            continue;
        bool isRefused = isKnown && now < found->second.refusedUntil;
        if (isRefused && tokens >= found->second.refusedTokens * RetrySizeRatio)
            continue;
        std::uint64_t cost = isKnown ? found->second.tokens : 0;
        if (candidate->dataCentre != ownDataCentre)
            cost += OtherDataCentreTokens;
        if (!best || cost < bestCost) {
            best = candidate->id;
            bestCost = cost;
            ties = 1;
        } else if (cost == bestCost && random.below(++ties) == 0) {
            best = candidate->id;
        }
    }
    return best;
}

std::optional<TimePoint> EngineLoad::nextRetryAt(TimePoint now) const
{
    std::optional<TimePoint> next;
    for (const auto& [id, engine] : this->engines) {
        for (TimePoint until : { engine.refusedUntil, engine.unusableUntil }) {
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
