// Table of the streams at an engine.
#include "engine_streams.h"

#include <algorithm>
#include <string>
#include <utility>

namespace peridotgrade {

EngineStreams::EngineStreams(Incarnation incarnation)
    : incarnation(incarnation)
{
}

EngineStreamId EngineStreams::add(EngineStream stream)
{
    std::string prefix = std::to_string(this->incarnation.raw());
    stream.id = EngineStreamId { prefix + "-" + std::to_string(++this->lastNumber) };
    EngineStreamId id = stream.id;
    this->streams.emplace(id, std::move(stream));
    return id;
}

void EngineStreams::addOrphan(const EngineStreamId& id)
{
    EngineStream orphan;
    orphan.id = id;
    // Started by an earlier agent process; the engine's listing does not tell whether it computes.
    orphan.isRunning = false;
    this->streams.emplace(id, orphan);
}

EngineStream* EngineStreams::find(const EngineStreamId& id)
{
    auto found = this->streams.find(id);
    return found == this->streams.end() ? nullptr : &found->second;
}

std::optional<EngineStream> EngineStreams::remove(const EngineStreamId& id)
{
    auto found = this->streams.find(id);
    if (found == this->streams.end())
        return std::nullopt;
    EngineStream removed = std::move(found->second);
    this->streams.erase(found);
    return removed;
}

std::vector<EngineStream> EngineStreams::removeAll()
{
    std::vector<EngineStream> removed;
    for (auto& [id, stream] : std::exchange(this->streams, {}))
        removed.push_back(stream);
    return removed;
}

std::vector<EngineStreamId> EngineStreams::unowned() const
{
    std::vector<EngineStreamId> ids;
    for (const auto& [id, stream] : this->streams) {
        if (!stream.owner)
            ids.push_back(id);
    }
    return ids;
}

std::size_t EngineStreams::running(StreamKind kind) const
{
    return static_cast<std::size_t>(std::count_if(this->streams.begin(), this->streams.end(),
        [&](const auto& item) { return item.second.kind == kind && item.second.isRunning; }));
}

bool EngineStreams::hasOtherSuspect(const AttemptKey& own) const
{
    return std::any_of(this->streams.begin(), this->streams.end(), [&](const auto& item) {
        const EngineStream& stream = item.second;
        return stream.isSuspect && stream.isRunning && stream.owner != own;
    });
}

} // namespace peridotgrade
