// Storage and expiry of stream origins.
#include "peridotgrade/core/serving/stream_origins.h"

#include <algorithm>

namespace peridotgrade {

void StreamOrigins::noteBegun(const StreamOriginRecord& record, TimePoint now, bool isAlwaysPublished)
{
    this->add(record.attempt, { record.origin, record.content, true, now, isAlwaysPublished });
    this->unpublished.push_back(record.attempt);
}

void StreamOrigins::noteCompleted(const std::string& attempt)
{
    auto found = this->streams.find(attempt);
    if (found != this->streams.end())
        found->second.isComplete = true;
}

void StreamOrigins::notePublished(const StreamOriginRecord& record, TimePoint now)
{
    auto found = this->streams.find(record.attempt);
    // An entry reads its own records too.
    if (found == this->streams.end())
        this->add(record.attempt, { record.origin, record.content, false, now });
}

std::optional<KnownOrigin> StreamOrigins::find(const std::string& attempt) const
{
    auto found = this->streams.find(attempt);
    return found == this->streams.end() ? std::nullopt : std::optional { found->second };
}

std::vector<StreamOrigin> StreamOrigins::originsOf(Fingerprint content) const
{
    std::vector<StreamOrigin> origins;
    for (const auto& [attempt, stream] : this->streams) {
        bool isEqual = stream.content == content;
        if (isEqual && std::find(origins.begin(), origins.end(), stream.origin) == origins.end())
            origins.push_back(stream.origin);
    }
    return origins;
}

void StreamOrigins::returnUnpublished(const std::vector<StreamOriginRecord>& records)
{
    for (const StreamOriginRecord& record : records)
        this->unpublished.push_back(record.attempt);
}

void StreamOrigins::republishAll()
{
    this->unpublished.clear();
    for (const auto& [attempt, stream] : this->streams) {
        if (stream.isOwn)
            this->unpublished.push_back(attempt);
    }
}

bool StreamOrigins::isIncomplete(const std::string& attempt) const
{
    auto found = this->streams.find(attempt);
    return found != this->streams.end() && !found->second.isComplete;
}

void StreamOrigins::add(const std::string& attempt, KnownOrigin stream)
{
    TimePoint now = stream.knownSince;
    while (!this->expiries.empty()
        && (this->expiries.front().at <= now || this->expiries.size() >= MaxStreams)) {
        this->streams.erase(this->expiries.front().attempt);
        this->expiries.pop_front();
    }
    // While all servers have one version, nothing is taken out of the list otherwise.
    while (!this->unpublished.empty() && !this->isIncomplete(this->unpublished.front()))
        this->unpublished.pop_front();
    this->streams.insert_or_assign(attempt, std::move(stream));
    this->expiries.push_back({ now + Lifetime, attempt });
}

} // namespace peridotgrade
