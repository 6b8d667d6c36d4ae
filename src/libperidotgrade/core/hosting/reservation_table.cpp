// Implementation of the table of places.
#include "reservation_table.h"

#include "peridotgrade/core/base/invariant.h"

#include <algorithm>
#include <utility>

namespace peridotgrade {

Place* PlaceTable::findGranted(const HoldKey& key)
{
    auto found = this->places.find(key);
    return found == this->places.end() ? nullptr : &found->second;
}

bool PlaceTable::isQueued(const HoldKey& key) const { return this->queueOrders.contains(key); }

void PlaceTable::enqueue(Place ask)
{
    ask.arrival = ++this->lastArrival;
    QueueOrder order { ask.priority, ask.arrival };
    this->queueOrders.emplace(ask.key, order);
    this->queue.emplace(order, std::move(ask));
}

void PlaceTable::addGranted(Place place)
{
    HoldKey key = place.key;
    bool isNew = this->places.emplace(key, std::move(place)).second;
    checkInvariant(isNew, Invariant::InternalConsistency, "an attempt holds two places");
}

std::optional<Place> PlaceTable::remove(const HoldKey& key)
{
    auto found = this->places.find(key);
    if (found == this->places.end())
        return this->removeAsk(key);
    Place removed = std::move(found->second);
    this->places.erase(found);
    return removed;
}

std::optional<Place> PlaceTable::removeAsk(const HoldKey& key)
{
    auto order = this->queueOrders.find(key);
    if (order == this->queueOrders.end())
        return std::nullopt;
    auto ask = this->queue.find(order->second);
    Place removed = std::move(ask->second);
    this->queue.erase(ask);
    this->queueOrders.erase(order);
    return removed;
}

std::vector<Place> PlaceTable::queuedInOrder() const
{
    std::vector<Place> asks;
    for (const auto& [order, ask] : this->queue)
        asks.push_back(ask);
    return asks;
}

std::vector<HoldKey> PlaceTable::keysOf(SessionEpoch epoch) const
{
    std::vector<HoldKey> keys;
    for (const auto& [key, place] : this->places) {
        if (key.epoch == epoch)
            keys.push_back(key);
    }
    for (const auto& [key, order] : this->queueOrders) {
        if (key.epoch == epoch)
            keys.push_back(key);
    }
    return keys;
}

std::vector<HoldKey> PlaceTable::grantedKeys() const
{
    std::vector<HoldKey> keys;
    for (const auto& [key, place] : this->places)
        keys.push_back(key);
    return keys;
}

bool PlaceTable::hasOtherSuspect(const HoldKey& than) const
{
    return std::any_of(this->places.begin(), this->places.end(),
        [&](const auto& item) { return item.second.isSuspect && item.first != than; });
}

} // namespace peridotgrade
