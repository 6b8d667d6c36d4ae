// All decode reservations of one engine: queued, granted, in use.
#pragma once

#include "decode_reservation.h"

#include <map>
#include <optional>
#include <vector>

namespace peridotgrade {

/// Granted reservations by key, and the admission queue in order of priority, then arrival. An attempt is in
/// at most one of the two.
class ReservationTable {
public:
    DecodeReservation* findGranted(const AttemptKey& key);
    bool isQueued(const AttemptKey& key) const;

    void enqueue(DecodeReservation requested);
    void addGranted(DecodeReservation reservation);
    /// Removes and returns a granted reservation or a queued request, if there is one.
    std::optional<DecodeReservation> remove(const AttemptKey& key);
    std::optional<DecodeReservation> removeQueued(const AttemptKey& key);

    /// Queued requests in the order in which they are to be granted.
    std::vector<DecodeReservation> queuedInOrder() const;
    /// Keys of all granted reservations and queued requests of an epoch.
    std::vector<AttemptKey> keysOf(SessionEpoch epoch) const;
    std::vector<AttemptKey> grantedKeys() const;

    bool hasOtherSuspect(const AttemptKey& own) const;
    std::size_t granted() const { return this->reservations.size(); }
    std::size_t queued() const { return this->queue.size(); }

private:
    struct QueueOrder {
        Priority priority = Priority::Normal;
        std::uint64_t arrival = 0;
        // clang-tidy 14 mistakes the zero of a rewritten comparison for a null pointer.
        // NOLINTNEXTLINE(modernize-use-nullptr)
        friend auto operator<=>(const QueueOrder&, const QueueOrder&) = default;
    };

    std::uint64_t lastArrival = 0;
    std::map<AttemptKey, DecodeReservation> reservations;
    /// Invariant: holds the same requests as `queueOrders`.
    std::map<QueueOrder, DecodeReservation> queue;
    std::map<AttemptKey, QueueOrder> queueOrders;
};

} // namespace peridotgrade
