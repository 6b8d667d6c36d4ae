// Where there may be memory for one more stream, from an entry's own use and the engines' refusals.
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

/// An entry sees only its own streams; the others' show in refused reservations. An engine that refused a
/// size is not asked for nearly as much again until its refusal is old or one of our streams there has ended.
/// Not thread safe.
class EngineLoad {
public:
    /// Streams of other entries end about every 40 ms at an engine with eight of them, each of 3 s.
    static constexpr std::chrono::milliseconds RefusalLifetime { 60 };
    /// A request of less than this share of the refused size may fit all the same. Requests of a line differ
    /// little, so without it each of them would ask every full engine.
    static constexpr double RetrySizeRatio = 0.6;
    /// First and longest time that an unusable engine is left alone. A change of stage takes 6 s.
    static constexpr std::chrono::milliseconds InitialBackoff { 150 };
    static constexpr std::chrono::milliseconds MaxBackoff { 2400 };

    void reserve(const ServerId& server, std::uint32_t tokens);
    void release(const ServerId& server, std::uint32_t tokens);
    /// A reservation is asked for; one of the next two tells its answer. An engine whose last answer was a
    /// refusal is asked once at a time, so that a long line is no load of its own.
    void noteRequested(const ServerId& server) { ++this->engines[server].pendingRequests; }
    void noteGranted(const ServerId& server);
    /// The engine has no room for that much. Asked again after `RefusalLifetime`.
    void noteRefusal(const ServerId& server, std::uint32_t tokens, TimePoint now);
    /// The engine took a reservation and then not the request, or is away for a change of stage: nothing is
    /// asked of it for a time that doubles until it serves one.
    void noteUnusable(const ServerId& server, TimePoint now);
    /// The engine has another stage than the list says, or another server has its address: nothing is asked
    /// of it until the list has caught up.
    void noteSuperseded(const ServerId& server, TimePoint now);
    void noteServed(const ServerId& server);
    void forget(const ServerId& server) { this->engines.erase(server); }

    /// The engine to ask for that much: the one with the fewest tokens of our own, one of our data centre
    /// among equals. Nothing if each has refused as much a moment ago.
    std::optional<ServerId> choose(const std::vector<const ServerRecord*>& candidates,
        const DataCentreId& ownDataCentre, std::uint32_t tokens, TimePoint now, RandomSource& random) const;
    /// When the next refusal is too old to hold.
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
