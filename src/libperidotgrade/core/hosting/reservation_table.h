// All places of one engine: asked for, granted, in use.
#pragma once

#include "decode_reservation.h"

#include <map>
#include <optional>
#include <vector>

namespace peridotgrade {

/// Granted places by key, and the queue of asks in order of priority, then arrival. An attempt is in at most
/// one of the two.
class PlaceTable {
public:
    Place* findGranted(const HoldKey& key);
    bool isQueued(const HoldKey& key) const;

    void enqueue(Place ask);
    void addGranted(Place place);
    /// Forgets a granted place or an ask; nothing if there is none.
    std::optional<Place> remove(const HoldKey& key);
    std::optional<Place> removeAsk(const HoldKey& key);

    /// Asks in the order in which they are to be served.
    std::vector<Place> queuedInOrder() const;
    /// Everything held or asked under an epoch.
    std::vector<HoldKey> keysOf(SessionEpoch epoch) const;
    std::vector<HoldKey> grantedKeys() const;

    bool hasOtherSuspect(const HoldKey& than) const;
    std::size_t granted() const { return this->places.size(); }
    std::size_t queued() const { return this->queue.size(); }

private:
    struct QueueOrder {
        Priority priority = Priority::Normal;
        std::uint64_t arrival = 0;
        // clang-tidy 14 takes the zero of a rewritten comparison for a null pointer.
        // NOLINTNEXTLINE(modernize-use-nullptr)
        friend auto operator<=>(const QueueOrder&, const QueueOrder&) = default;
    };

    std::uint64_t lastArrival = 0;
    std::map<HoldKey, Place> places;
    /// Invariant: holds the same asks as `queueOrders`.
    std::map<QueueOrder, Place> queue;
    std::map<HoldKey, QueueOrder> queueOrders;
};

} // namespace peridotgrade
