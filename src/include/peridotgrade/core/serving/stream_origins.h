// The origins of streams that callers may resume.
#pragma once

#include "peridotgrade/core/base/time.h"
#include "peridotgrade/core/serving/stream_origin.h"

#include <chrono>
#include <concepts>
#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace peridotgrade {

/// An origin, and how an entry knows it.
struct KnownOrigin {
    StreamOrigin origin;
    /// The entry began the stream itself.
    bool isOwn = false;
    /// When the stream began, or its record was read.
    TimePoint knownSince {};
};

/// Holds the origins of this entry's incomplete streams, and of those that other entries have published.
/// Tells which of its own are still to be published. Not thread safe.
class StreamOrigins {
public:
    /// Callers resume a stream within their own time limit.
    static constexpr std::chrono::seconds Lifetime { 30 };
    /// Bounds the memory at some megabytes. The oldest are dropped first.
    static constexpr std::size_t MaxStreams = 20'000;

    /// A stream of this entry has delivered its first event.
    void noteBegun(const std::string& attempt, const StreamOrigin& origin, TimePoint now);
    /// The stream was delivered completely, so its caller will not resume it.
    void noteCompleted(const std::string& attempt);
    /// Another entry has published the origin of its stream.
    void notePublished(const StreamOriginRecord& record, TimePoint now);
    std::optional<KnownOrigin> find(const std::string& attempt) const;

    /// Takes the unpublished streams of the services that `isWanted` names.
    template <std::predicate<const ServiceId&> Predicate>
    std::vector<StreamOriginRecord> takeUnpublished(Predicate isWanted)
    {
        std::vector<StreamOriginRecord> taken;
        std::deque<std::string> kept;
        for (std::string& attempt : this->unpublished) {
            auto found = this->streams.find(attempt);
            if (found == this->streams.end())
                continue;
            if (isWanted(found->second.origin.service))
                taken.push_back({ attempt, found->second.origin });
            else
                kept.push_back(std::move(attempt));
        }
        this->unpublished = std::move(kept);
        return taken;
    }
    /// The streams were not published after all.
    void returnUnpublished(const std::vector<StreamOriginRecord>& records);
    /// What was published may be lost: all streams of this entry are to be published again.
    void republishAll();
    /// Streams to be published; some may be complete by now.
    std::size_t unpublishedStreams() const { return this->unpublished.size(); }

private:
    struct Expiry {
        TimePoint at;
        std::string attempt;
    };

    void add(const std::string& attempt, KnownOrigin stream);

    std::unordered_map<std::string, KnownOrigin> streams;
    /// In order of time. Invariant: has each of `streams`; streams that were removed before have no effect.
    std::deque<Expiry> expiries;
    /// Attempts of own streams; some may have been removed from `streams`.
    std::deque<std::string> unpublished;
};

} // namespace peridotgrade
