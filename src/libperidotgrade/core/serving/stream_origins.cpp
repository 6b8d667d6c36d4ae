// Storage and expiry of stream origins.
#include "peridotgrade/core/serving/stream_origins.h"

namespace peridotgrade {

void StreamOrigins::noteBegun(const std::string& attempt, const StreamOrigin& origin, TimePoint now)
{
    this->add(attempt, { origin, true, now });
    this->unpublished.push_back(attempt);
}

void StreamOrigins::noteCompleted(const std::string& attempt) { this->streams.erase(attempt); }

void StreamOrigins::notePublished(const StreamOriginRecord& record, TimePoint now)
{
    auto found = this->streams.find(record.attempt);
    // An entry reads its own records too.
    if (found == this->streams.end())
        this->add(record.attempt, { record.origin, false, now });
}

std::optional<KnownOrigin> StreamOrigins::find(const std::string& attempt) const
{
    auto found = this->streams.find(attempt);
    return found == this->streams.end() ? std::nullopt : std::optional { found->second };
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

void StreamOrigins::add(const std::string& attempt, KnownOrigin stream)
{
    TimePoint now = stream.knownSince;
    while (!this->expiries.empty()
        && (this->expiries.front().at <= now || this->expiries.size() >= MaxStreams)) {
        this->streams.erase(this->expiries.front().attempt);
        this->expiries.pop_front();
    }
    // While all servers have one version, nothing is taken out of the list otherwise.
    while (!this->unpublished.empty() && !this->streams.contains(this->unpublished.front()))
        this->unpublished.pop_front();
    this->streams.insert_or_assign(attempt, std::move(stream));
    this->expiries.push_back({ now + Lifetime, attempt });
}

} // namespace peridotgrade
