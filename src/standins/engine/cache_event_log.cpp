// Recording and paginated reads of cache events.
#include "cache_event_log.h"

#include <boost/json/array.hpp>

#include <algorithm>
#include <array>
#include <cstdio>

namespace peridotgrade::standins {

namespace json = boost::json;

namespace {

    constexpr std::size_t MaxEvents = 1000;
    constexpr std::size_t HexDigits = 16;

    json::array hexHashes(const std::vector<std::uint64_t>& hashes)
    {
        json::array result;
        for (std::uint64_t hash : hashes) {
            std::array<char, HexDigits + 1> text;
            std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(hash));
            result.emplace_back(std::string_view { text.data(), HexDigits });
        }
        return result;
    }

} // namespace

void CacheEventLog::record(CacheChange change, std::chrono::milliseconds delay, double loss)
{
    if (change.added.empty() && change.evicted.empty())
        return;
    ++this->lastSequence;
    if (std::uniform_real_distribution<double> {}(this->random) < loss)
        return;
    Event event;
    event.sequence = this->lastSequence;
    event.visibleAt = StandinClock::now() + delay;
    event.change = std::move(change);
    this->events.push_back(std::move(event));
    if (this->events.size() > MaxEvents)
        this->events.pop_front();
}

bool CacheEventLog::hasEvents(std::uint64_t from) const
{
    auto now = StandinClock::now();
    return std::any_of(this->events.begin(), this->events.end(),
        [&](const Event& event) { return event.sequence >= from && event.visibleAt <= now; });
}

json::object CacheEventLog::page(std::uint64_t from) const
{
    auto now = StandinClock::now();
    std::uint64_t next = from;
    json::array list;
    for (const Event& event : this->events) {
        if (event.sequence < from || event.visibleAt > now)
            continue;
        json::object item;
        item["sequence"] = event.sequence;
        item["added"] = hexHashes(event.change.added);
        item["evicted"] = hexHashes(event.change.evicted);
        list.push_back(std::move(item));
        next = event.sequence + 1;
    }
    json::object body;
    body["events"] = std::move(list);
    body["next"] = next;
    return body;
}

} // namespace peridotgrade::standins
