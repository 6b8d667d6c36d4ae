// Batch slots and KV memory of one engine, as reserved by its agent.
#pragma once

#include <cstdint>

namespace peridotgrade {

/// What one hold takes from the engine.
struct Reservation {
    std::uint32_t places = 0;
    std::uint32_t kvPieces = 0;
};

/// Counts what is reserved against what the engine has.
class Capacity {
public:
    /// Replaces the engine's totals; reservations stay.
    void setTotals(std::uint32_t places, std::uint64_t kvTokens, std::uint32_t tokensPerPiece);

    /// The engine restarted: nothing is reserved any more.
    void clear();

    /// KV memory is handed out in whole pieces, so tokens are rounded up.
    std::uint32_t piecesFor(std::uint64_t tokens) const;

    /// False for what would not fit even into an empty engine.
    bool couldEverFit(const Reservation& wanted) const;
    bool fits(const Reservation& wanted) const;
    void take(const Reservation& wanted);
    void giveBack(const Reservation& held);

    std::uint32_t placesFree() const;
    std::uint32_t placesTotal() const { return this->total.places; }
    std::uint32_t placesUsed() const { return this->used.places; }

private:
    Reservation total;
    /// Invariant: `take` never brings it above `total`.
    Reservation used;
    std::uint32_t tokensPerPiece = 1;
};

} // namespace peridotgrade
