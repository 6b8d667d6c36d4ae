// Batch slots and KV memory of one engine, as reserved by its agent.
#pragma once

#include <cstdint>

namespace peridotgrade {

/// What one hold takes from the engine.
struct EngineResources {
    std::uint32_t batchSlots = 0;
    std::uint32_t kvPieces = 0;
};

/// Counts what is reserved against what the engine has.
class Capacity {
public:
    /// Replaces the engine's totals; reservations stay.
    void setTotals(std::uint32_t batchSlots, std::uint64_t kvTokens, std::uint32_t tokensPerPiece);

    /// The engine restarted: nothing is reserved any more.
    void clear();

    /// KV memory is handed out in whole pieces, so tokens are rounded up.
    std::uint32_t piecesFor(std::uint64_t tokens) const;

    /// False for what would not fit even into an empty engine.
    bool couldEverFit(const EngineResources& wanted) const;
    bool fits(const EngineResources& wanted) const;
    void reserve(const EngineResources& wanted);
    void release(const EngineResources& held);

    std::uint32_t batchSlotsFree() const;
    std::uint32_t batchSlotsTotal() const { return this->total.batchSlots; }
    std::uint32_t batchSlotsUsed() const { return this->used.batchSlots; }

private:
    EngineResources total;
    /// Invariant: `reserve` never brings it above `total`.
    EngineResources used;
    std::uint32_t tokensPerPiece = 1;
};

} // namespace peridotgrade
