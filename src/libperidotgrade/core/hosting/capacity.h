// Batch slots and KV memory of one engine, as reserved by its agent.
#pragma once

#include <cstdint>

namespace peridotgrade {

/// Amount of the engine's resources that one reservation or prefill takes.
struct EngineResources {
    std::uint32_t batchSlots = 0;
    std::uint32_t kvPieces = 0;
};

/// Accounts for reserved resources against the engine's totals.
class Capacity {
public:
    /// Replaces the engine's totals; existing reservations are kept.
    void setTotals(std::uint32_t batchSlots, std::uint64_t kvTokens, std::uint32_t tokensPerPiece);

    /// Drops all reservations, for an engine that restarted.
    void clear();

    /// KV memory is allocated in whole pieces, so the token count is rounded up.
    std::uint32_t piecesFor(std::uint64_t tokens) const;

    /// False if the request would not fit even into an empty engine.
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
