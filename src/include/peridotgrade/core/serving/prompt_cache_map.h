// Which server probably still has which shared part of prompts in its cache.
#pragma once

#include "peridotgrade/core/base/ids.h"
#include "peridotgrade/core/base/time.h"
#include "peridotgrade/core/serving/server_record.h"

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <vector>

namespace peridotgrade {

/// A part of a prompt that other requests share. Its identity is unique among all models.
struct PromptPart {
    Fingerprint id;
    std::uint32_t tokens = 0;
};

/// Remembers which incarnation of a server read which part when. Bounded in entries and time. Not thread
/// safe.
class PromptCacheMap {
public:
    /// Servers keep a part for 6 to 8 s after its last use.
    static constexpr std::chrono::seconds Lifetime { 6 };
    /// Some 200 KB; at 20 prefills a second with three parts each the oldest entries have expired.
    static constexpr std::size_t MaxEntries = 2048;

    /// The server has read a prompt that begins with these parts.
    void noteRead(const ServerRecord& server, const std::vector<PromptPart>& parts, TimePoint now);
    /// Tokens that the server need not read again: those of the first parts, up to one that it has not.
    std::uint32_t cachedTokens(
        const ServerRecord& server, const std::vector<PromptPart>& parts, TimePoint now) const;
    std::size_t size() const { return this->reads.size(); }

private:
    struct Key {
        Fingerprint part;
        ServerId server;
        WallTime startedAt {};

        // NOLINTNEXTLINE(modernize-use-nullptr)
        friend auto operator<=>(const Key&, const Key&) = default;
    };
    struct Read {
        TimePoint at {};
        std::list<Key>::iterator position;
    };

    std::map<Key, Read> reads;
    /// The last one used is at the end.
    std::list<Key> order;
};

} // namespace peridotgrade
