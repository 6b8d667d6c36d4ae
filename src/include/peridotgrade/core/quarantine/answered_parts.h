// Parts of prompts, or requests, that were answered completely of late.
#pragma once

#include "peridotgrade/core/base/ids.h"
#include "peridotgrade/core/base/time.h"

#include <chrono>
#include <cstddef>
#include <list>
#include <unordered_map>

namespace peridotgrade {

/// Remembers which parts of prompts, or which requests, servers have answered in full: these do not crash
/// them. They are forgotten after a while, since another version of the servers' software may not bear them.
/// Not thread safe.
class AnsweredParts {
public:
    static constexpr std::chrono::seconds Lifetime { 30 };
    /// Bounds the memory. The part that was answered longest ago is dropped first.
    static constexpr std::size_t Capacity = 4096;

    void record(Fingerprint part, TimePoint now);
    bool contains(Fingerprint part, TimePoint now) const;

private:
    struct Entry {
        Fingerprint part;
        TimePoint answeredAt;
    };

    /// In order of time.
    std::list<Entry> entries;
    /// Invariant: has each element of `entries`.
    std::unordered_map<Fingerprint, std::list<Entry>::iterator> positions;
};

} // namespace peridotgrade
