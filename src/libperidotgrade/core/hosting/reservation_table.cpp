// Table of granted reservations and the admission queue.
#include "reservation_table.h"

#include "peridotgrade/core/base/invariant.h"

#include <algorithm>
#include <utility>

namespace peridotgrade {

DecodeReservation* ReservationTable::findGranted(const AttemptKey& key)
{
    auto found = this->reservations.find(key);
    return found == this->reservations.end() ? nullptr : &found->second;
}

bool ReservationTable::isQueued(const AttemptKey& key) const { return this->queueOrders.contains(key); }

void ReservationTable::enqueue(DecodeReservation requested)
{
    requested.arrival = ++this->lastArrival;
    QueueOrder order { requested.priority, requested.arrival };
    this->queueOrders.emplace(requested.key, order);
    this->queue.emplace(order, std::move(requested));
}

void ReservationTable::addGranted(DecodeReservation reservation)
{
    AttemptKey key = reservation.key;
    bool isNew = this->reservations.emplace(key, std::move(reservation)).second;
    checkInvariant(isNew, Invariant::InternalConsistency, "an attempt holds two reservations");
}

std::optional<DecodeReservation> ReservationTable::remove(const AttemptKey& key)
{
    auto found = this->reservations.find(key);
    if (found == this->reservations.end())
        return this->removeQueued(key);
    DecodeReservation removed = std::move(found->second);
    this->reservations.erase(found);
    return removed;
}

std::optional<DecodeReservation> ReservationTable::removeQueued(const AttemptKey& key)
{
    auto order = this->queueOrders.find(key);
    if (order == this->queueOrders.end())
        return std::nullopt;
    auto requested = this->queue.find(order->second);
    DecodeReservation removed = std::move(requested->second);
    this->queue.erase(requested);
    this->queueOrders.erase(order);
    return removed;
}

std::vector<DecodeReservation> ReservationTable::queuedInOrder() const
{
    std::vector<DecodeReservation> ordered;
    for (const auto& [order, requested] : this->queue)
        ordered.push_back(requested);
    return ordered;
}

std::vector<AttemptKey> ReservationTable::keysOf(SessionEpoch epoch) const
{
    std::vector<AttemptKey> keys;
    for (const auto& [key, reservation] : this->reservations) {
        if (key.epoch == epoch)
            keys.push_back(key);
    }
    for (const auto& [key, order] : this->queueOrders) {
        if (key.epoch == epoch)
            keys.push_back(key);
    }
    return keys;
}

std::vector<AttemptKey> ReservationTable::grantedKeys() const
{
    std::vector<AttemptKey> keys;
    for (const auto& [key, reservation] : this->reservations)
        keys.push_back(key);
    return keys;
}

bool ReservationTable::hasOtherSuspect(const AttemptKey& own) const
{
    return std::any_of(this->reservations.begin(), this->reservations.end(),
        [&](const auto& item) { return item.second.isSuspect && item.first != own; });
}

} // namespace peridotgrade
