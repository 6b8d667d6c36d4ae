// Choice of the engine for a reservation, from the entry's own load and the engines' refusals.
#pragma once

#include "peridotgrade/core/base/random_source.h"
#include "peridotgrade/core/base/time.h"
#include "peridotgrade/core/serving/engine_backlog.h"
#include "peridotgrade/core/serving/open_engine.h"
#include "peridotgrade/core/serving/server_pace.h"
#include "peridotgrade/core/serving/server_record.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace peridotgrade {

/// Tracks the tokens that this entry has reserved at each engine, and the engines' refusals. An entry sees
/// only its own streams; the load of other entries shows up as refused reservations. An engine that refused a
/// size is not asked for a similar size again until the refusal has expired or one of this entry's streams
/// there has ended. Not thread safe.
class EngineLoad {
public:
    /// Tokens of the request that an engine need not compute. Engines of equal pace are chosen without them:
    /// they are too few to send requests to one engine instead of an even spread.
    using SavedTokens = std::function<std::uint32_t(const ServerRecord&)>;

    /// At an engine with eight streams of 3 s each, streams of other entries end about every 40 ms.
    static constexpr std::chrono::milliseconds RefusalLifetime { 60 };
    /// A request below this fraction of the refused size is tried all the same. Queued requests differ little
    /// in size, so without the limit each of them would be tried at every full engine.
    static constexpr double RetrySizeRatio = 0.6;
    /// First and longest backoff for an unusable engine. A role change takes 6 s.
    static constexpr std::chrono::milliseconds InitialBackoff { 150 };
    static constexpr std::chrono::milliseconds MaxBackoff { 2400 };

    /// Weighs engines by their pace from now on; `newPace` has to outlive this object. With unequal engines
    /// one is drawn with a probability proportional to its expected time to the power of -`newSelectivity`:
    /// entries do not see each other's requests, so if each took the fastest engine, all would take the same.
    void usePace(const ServerPace& newPace, double newSelectivity)
    {
        this->pace = &newPace;
        this->selectivity = newSelectivity;
    }

    /// Counts the tokens that wait at engines of equal pace by `newBacklog`, which has to outlive this
    /// object. Among engines of unequal pace the draw spreads the requests; there the backlog gained nothing
    /// in placement_load_test.
    void useBacklog(const EngineBacklog& newBacklog) { this->backlog = &newBacklog; }

    void reserve(const ServerId& server, std::uint32_t tokens);
    void release(const ServerId& server, std::uint32_t tokens);
    /// A reservation has been requested; `noteGranted` or `noteRefusal` reports the answer. An engine whose
    /// last answer was a refusal gets one request at a time, so that a long queue does not become a load of
    /// its own.
    void noteRequested(const ServerId& server) { ++this->engines[server].pendingRequests; }
    void noteGranted(const ServerId& server);
    /// The engine has no room for that size. It is tried again after `RefusalLifetime`.
    void noteRefusal(const ServerId& server, std::uint32_t tokens, TimePoint now);
    /// The engine granted a reservation and then rejected the request, or changes its role. It gets
    /// no requests for a backoff that doubles until it serves one.
    void noteUnusable(const ServerId& server, TimePoint now);
    /// The engine has another role than the server list says, or another server has its address. It gets no
    /// requests until the list has caught up.
    void noteSuperseded(const ServerId& server, TimePoint now);
    /// The engine is changing its role, which takes until `until` at most.
    void noteChangingRole(const ServerId& server, TimePoint until);
    /// Another entry has announced that the engine changes its role. Unlike `noteChangingRole` this holds
    /// although the engine still serves what it got before.
    void noteAnnouncedRoleChange(const ServerId& server, TimePoint until);
    void noteServed(const ServerId& server);
    void forget(const ServerId& server) { this->engines.erase(server); }

    /// Chooses the engine with the fewest tokens of this entry, with a penalty for other data centres; ties
    /// are broken at random. Engines of unequal pace are chosen by their expected time instead, and one whose
    /// events come later than its routes allow only if no other may be asked. Returns nothing if each engine
    /// is backing off or has just refused such a size.
    std::optional<ServerId> choose(const std::vector<const ServerRecord*>& candidates,
        const DataCentreId& ownDataCentre, std::uint32_t tokens, TimePoint now, RandomSource& random,
        const SavedTokens& saved = {}) const;
    /// The same in two steps, for several requests: the engines that may be asked, and a choice among those
    /// that `mayServe`. The first step is valid until the load of one of the engines changes.
    std::vector<OpenEngine> openAmong(const std::vector<const ServerRecord*>& candidates,
        const DataCentreId& ownDataCentre, TimePoint now) const;
    template <typename MayServe>
    std::optional<ServerId> chooseFrom(const std::vector<OpenEngine>& open, std::uint32_t tokens,
        RandomSource& random, MayServe mayServe, const SavedTokens& saved = {}) const
    {
        std::vector<const OpenEngine*> fitting;
        for (const OpenEngine& each : open) {
            if (each.accepts(tokens) && mayServe(*each.record))
                fitting.push_back(&each);
        }
        return this->best(std::move(fitting), tokens, random, saved);
    }
    /// When the next refusal or backoff ends.
    std::optional<TimePoint> nextRetryAt(TimePoint now) const;
    std::uint64_t tokensAt(const ServerId& server) const;

private:
    struct Engine {
        std::uint64_t tokens = 0;
        std::uint32_t pendingRequests = 0;
        bool wasLastRefused = false;
        std::uint32_t refusedTokens = 0;
        TimePoint refusedUntil {};
        std::uint32_t consecutiveUnusable = 0;
        TimePoint unusableUntil {};
        TimePoint announcedUntil {};
    };

    std::optional<ServerId> best(std::vector<const OpenEngine*> fitting, std::uint32_t tokens,
        RandomSource& random, const SavedTokens& saved) const;
    static std::optional<ServerId> fewestTokens(
        const std::vector<const OpenEngine*>& open, RandomSource& random);
    std::optional<ServerId> leastTime(const std::vector<const OpenEngine*>& open, std::uint32_t tokens,
        const SavedTokens& saved, RandomSource& random) const;

    std::unordered_map<ServerId, Engine> engines;
    /// Null if engines are not weighed.
    const ServerPace* pace = nullptr;
    /// Null if only own tokens count.
    const EngineBacklog* backlog = nullptr;
    double selectivity = 0;
};

} // namespace peridotgrade
