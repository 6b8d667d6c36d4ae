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
/// size is not asked for that much again until its refusal is old or one of our streams there has ended.
/// Not thread safe.
class EngineUse {
public:
    /// Streams of other entries end about every 40 ms at an engine with eight of them, each of 3 s.
    static constexpr std::chrono::milliseconds RefusalLifetime { 60 };

    void reserve(const ServerId& server, std::uint32_t tokens);
    void release(const ServerId& server, std::uint32_t tokens);
    void noteRefusal(const ServerId& server, std::uint32_t tokens, TimePoint now);
    void forget(const ServerId& server) { this->engines.erase(server); }

    /// The engine to ask for that much: the one with the fewest tokens of our own, one of our data centre
    /// among equals. Nothing if each has refused as much a moment ago.
    std::optional<ServerId> choose(const std::vector<const ServerRecord*>& candidates,
        const DataCentreId& ownDataCentre, std::uint32_t tokens, TimePoint now, RandomSource& random) const;
    /// When the next refusal is too old to hold.
    std::optional<TimePoint> nextRefusalEnd(TimePoint now) const;
    std::uint64_t tokensAt(const ServerId& server) const;

private:
    struct Engine {
        std::uint64_t tokens = 0;
        std::uint32_t refusedTokens = 0;
        TimePoint refusedUntil {};
    };
    std::map<ServerId, Engine> engines;
};

} // namespace peridotgrade
