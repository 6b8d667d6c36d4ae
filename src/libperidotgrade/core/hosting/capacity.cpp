// Accounting of an engine's batch slots and KV memory.
#include "capacity.h"

#include "peridotgrade/core/base/invariant.h"

#include <algorithm>
#include <limits>

namespace peridotgrade {

void Capacity::setTotals(std::uint32_t batchSlots, std::uint64_t kvTokens, std::uint32_t tokensPerPiece)
{
    constexpr std::uint64_t MaxCount = std::numeric_limits<std::uint32_t>::max();
    this->tokensPerPiece = std::max<std::uint32_t>(1, tokensPerPiece);
    this->total.batchSlots = batchSlots;
    this->total.kvPieces = static_cast<std::uint32_t>(std::min(MaxCount, kvTokens / this->tokensPerPiece));
}

void Capacity::clear() { this->used = EngineResources {}; }

std::uint32_t Capacity::piecesFor(std::uint64_t tokens) const
{
    constexpr std::uint64_t MaxCount = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(
        std::min(MaxCount, (tokens + this->tokensPerPiece - 1) / this->tokensPerPiece));
}

bool Capacity::couldEverFit(const EngineResources& wanted) const
{
    return wanted.batchSlots <= this->total.batchSlots && wanted.kvPieces <= this->total.kvPieces;
}

bool Capacity::fits(const EngineResources& wanted) const
{
    std::uint64_t batchSlots = std::uint64_t { this->used.batchSlots } + wanted.batchSlots;
    std::uint64_t pieces = std::uint64_t { this->used.kvPieces } + wanted.kvPieces;
    return batchSlots <= this->total.batchSlots && pieces <= this->total.kvPieces;
}

void Capacity::reserve(const EngineResources& wanted)
{
    checkInvariant(
        this->fits(wanted), Invariant::CapacityNotExceeded, "reservation beyond the engine's capacity");
    this->used.batchSlots += wanted.batchSlots;
    this->used.kvPieces += wanted.kvPieces;
}

void Capacity::release(const EngineResources& held)
{
    bool wasHeld = held.batchSlots <= this->used.batchSlots && held.kvPieces <= this->used.kvPieces;
    checkInvariant(wasHeld, Invariant::InternalConsistency, "more released than was reserved");
    this->used.batchSlots -= held.batchSlots;
    this->used.kvPieces -= held.kvPieces;
}

std::uint32_t Capacity::batchSlotsFree() const
{
    return this->total.batchSlots - std::min(this->total.batchSlots, this->used.batchSlots);
}

} // namespace peridotgrade
