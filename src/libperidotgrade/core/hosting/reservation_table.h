// All places of one engine: asked for, granted, in use.
#pragma once

#include "decode_reservation.h"

#include <map>
#include <optional>
#include <vector>

namespace peridotgrade {

/// Granted places by key, and the queue of asks in order of priority, then arrival. An attempt is in at most
/// one of the two.
class ReservationTable {
public:
    DecodeReservation* findGranted(const AttemptKey& key);
    bool isQueued(const AttemptKey& key) const;

    void enqueue(DecodeReservation requested);
    void addGranted(DecodeReservation reservation);
    /// Forgets a granted place or an ask; nothing if there is none.
    std::optional<DecodeReservation> remove(const AttemptKey& key);
    std::optional<DecodeReservation> removeQueued(const AttemptKey& key);

    /// Asks in the order in which they are to be served.
    std::vector<DecodeReservation> queuedInOrder() const;
    /// Everything held or asked under an epoch.
    std::vector<AttemptKey> keysOf(SessionEpoch epoch) const;
    std::vector<AttemptKey> grantedKeys() const;

    bool hasOtherSuspect(const AttemptKey& own) const;
    std::size_t granted() const { return this->reservations.size(); }
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
    std::map<AttemptKey, DecodeReservation> reservations;
    /// Invariant: holds the same asks as `queueOrders`.
    std::map<QueueOrder, DecodeReservation> queue;
    std::map<AttemptKey, QueueOrder> queueOrders;
};

} // namespace peridotgrade
