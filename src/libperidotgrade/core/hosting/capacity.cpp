// Implementation of the capacity counts.
#include "capacity.h"

#include "peridotgrade/core/base/invariant.h"

#include <algorithm>
#include <limits>

namespace peridotgrade {

void Capacity::setTotals(std::uint32_t places, std::uint64_t kvTokens, std::uint32_t tokensPerPiece)
{
    constexpr std::uint64_t Most = std::numeric_limits<std::uint32_t>::max();
    this->tokensPerPiece = std::max<std::uint32_t>(1, tokensPerPiece);
    this->total.places = places;
    this->total.kvPieces = static_cast<std::uint32_t>(std::min(Most, kvTokens / this->tokensPerPiece));
}

void Capacity::clear() { this->used = Reservation {}; }

std::uint32_t Capacity::piecesFor(std::uint64_t tokens) const
{
    constexpr std::uint64_t Most = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(
        std::min(Most, (tokens + this->tokensPerPiece - 1) / this->tokensPerPiece));
}

bool Capacity::couldEverFit(const Reservation& wanted) const
{
    return wanted.places <= this->total.places && wanted.kvPieces <= this->total.kvPieces;
}

bool Capacity::fits(const Reservation& wanted) const
{
    std::uint64_t places = std::uint64_t { this->used.places } + wanted.places;
    std::uint64_t pieces = std::uint64_t { this->used.kvPieces } + wanted.kvPieces;
    return places <= this->total.places && pieces <= this->total.kvPieces;
}

void Capacity::take(const Reservation& wanted)
{
    checkInvariant(
        this->fits(wanted), Invariant::CapacityNotExceeded, "reservation beyond the engine's capacity");
    this->used.places += wanted.places;
    this->used.kvPieces += wanted.kvPieces;
}

void Capacity::giveBack(const Reservation& held)
{
    bool wasHeld = held.places <= this->used.places && held.kvPieces <= this->used.kvPieces;
    checkInvariant(wasHeld, Invariant::InternalConsistency, "more given back than was reserved");
    this->used.places -= held.places;
    this->used.kvPieces -= held.kvPieces;
}

std::uint32_t Capacity::placesFree() const
{
    return this->total.places - std::min(this->total.places, this->used.places);
}

} // namespace peridotgrade
