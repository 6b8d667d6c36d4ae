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
    Fingerprint content;
    /// The entry began the stream itself.
    bool isOwn = false;
    /// When the stream began, or its record was read.
    TimePoint knownSince {};
    /// It is published also while its service has one version.
    bool isAlwaysPublished = false;
    /// It was delivered completely; its caller may still have lost the end of it.
    bool isComplete = false;
};

/// Holds the origins of this entry's streams, and of those that other entries have published. Tells which of
/// its own are still to be published. Not thread safe.
class StreamOrigins {
public:
    /// Longer than callers resume a stream.
    static constexpr std::chrono::seconds Lifetime { 120 };
    /// Bounds the memory at some megabytes. The oldest are dropped first.
    static constexpr std::size_t MaxStreams = 20'000;

    /// A stream of this entry has delivered its first event.
    void noteBegun(const StreamOriginRecord& record, TimePoint now, bool isAlwaysPublished = false);
    /// The stream was delivered completely, so it need not be published.
    void noteCompleted(const std::string& attempt);
    /// Another entry has published the origin of its stream.
    void notePublished(const StreamOriginRecord& record, TimePoint now);
    std::optional<KnownOrigin> find(const std::string& attempt) const;
    /// The different origins of the streams of equal requests.
    std::vector<StreamOrigin> originsOf(Fingerprint content) const;

    /// Takes the unpublished streams of the services that `isWanted` names.
    template <std::predicate<const ServiceId&> Predicate>
    std::vector<StreamOriginRecord> takeUnpublished(Predicate isWanted)
    {
        std::vector<StreamOriginRecord> taken;
        std::deque<std::string> kept;
        for (std::string& attempt : this->unpublished) {
            auto found = this->streams.find(attempt);
            if (found == this->streams.end() || found->second.isComplete)
                continue;
            const KnownOrigin& stream = found->second;
            if (stream.isAlwaysPublished || isWanted(stream.origin.service))
                taken.push_back({ attempt, stream.origin, stream.content });
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
    bool isIncomplete(const std::string& attempt) const;

    std::unordered_map<std::string, KnownOrigin> streams;
    /// In order of time. Invariant: has each of `streams`.
    std::deque<Expiry> expiries;
    /// Attempts of own streams; some may be complete, or no longer among `streams`.
    std::deque<std::string> unpublished;
};

} // namespace peridotgrade
