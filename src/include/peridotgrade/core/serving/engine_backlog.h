// Work that waits at each prefill engine, as the waits of this entry's own prefills show it.
#pragma once

#include "peridotgrade/core/base/time.h"
#include "peridotgrade/core/serving/server_record.h"

#include <chrono>
#include <cstdint>
#include <unordered_map>

namespace peridotgrade {

/// Estimates the prompt tokens that wait at an engine. An entry does not see what others have sent there, but
/// its own prefill takes longer by the time that it waited. Load that it answers: prefill engines of one data
/// centre that are slower or more in demand than others, where each entry has no prefill of its own at most
/// of them and would keep to the nearest. Not thread safe.
class EngineBacklog {
public:
    /// An estimate loses its weight with this time constant, so that the engine is tried again: an entry that
    /// sends two prefills a second to a dozen engines meets each of them every six seconds.
    static constexpr std::chrono::seconds Lifetime { 3 };
    /// Waits up to this share of the prefill's own time are no backlog: times of a single engine vary by as
    /// much.
    static constexpr double MinWaitShare = 0.5;

    /// A prefill of `tokens`, which takes `cost` at an idle engine, took `took`.
    void record(
        const ServerRecord& server, std::uint32_t tokens, Duration cost, Duration took, TimePoint now);
    void forget(const ServerId& server) { this->engines.erase(server); }
    /// Tokens that are expected to wait there; 0 without evidence.
    std::uint64_t tokensAt(const ServerRecord& server, TimePoint now) const;

private:
    struct Engine {
        WallTime startedAt {};
        double tokens = 0;
        TimePoint measuredAt {};
    };

    std::unordered_map<ServerId, Engine> engines;
};

} // namespace peridotgrade
