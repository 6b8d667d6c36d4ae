// Choice of the engine for a reservation, from the entry's own load and the engines' refusals.
#pragma once

#include "peridotgrade/core/base/random_source.h"
#include "peridotgrade/core/base/time.h"
#include "peridotgrade/core/serving/server_record.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace peridotgrade {

/// Tracks the tokens that this entry has reserved at each engine, and the engines' refusals. An entry sees
/// only its own streams; the load of other entries shows up as refused reservations. An engine that refused a
/// size is not asked for a similar size again until the refusal has expired or one of this entry's streams
/// there has ended. Not thread safe.
class EngineLoad {
public:
    /// At an engine with eight streams of 3 s each, streams of other entries end about every 40 ms.
    static constexpr std::chrono::milliseconds RefusalLifetime { 60 };
    /// A request below this fraction of the refused size is tried all the same. Queued requests differ little
    /// in size, so without the limit each of them would be tried at every full engine.
    static constexpr double RetrySizeRatio = 0.6;
    /// First and longest backoff for an unusable engine. A role change takes 6 s.
    static constexpr std::chrono::milliseconds InitialBackoff { 150 };
    static constexpr std::chrono::milliseconds MaxBackoff { 2400 };

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
    void noteServed(const ServerId& server);
    void forget(const ServerId& server) { this->engines.erase(server); }

    /// Chooses the engine with the fewest tokens of this entry, with a penalty for other data centres; ties
    /// are broken at random. Returns nothing if each engine is backing off or has just refused such a size.
    std::optional<ServerId> choose(const std::vector<const ServerRecord*>& candidates,
        const DataCentreId& ownDataCentre, std::uint32_t tokens, TimePoint now, RandomSource& random) const;
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
    };
    std::map<ServerId, Engine> engines;
};

} // namespace peridotgrade
