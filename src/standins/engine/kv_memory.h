// The engine's KV cache memory, which is allocated in fixed-size blocks.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace peridotgrade::standins {

enum class ReservationKind : std::uint8_t { Prefill, Kept, Decode };

/// Name of the kind as `/v1/streams` reports it.
constexpr const char* nameOf(ReservationKind kind)
{
    if (kind == ReservationKind::Prefill)
        return "prefill";
    return kind == ReservationKind::Kept ? "kept" : "decode";
}

/// Reservations of KV cache blocks by stream; the HTTP interface calls a block a piece. Not thread safe.
class KvMemory {
public:
    struct Reservation {
        ReservationKind kind = ReservationKind::Prefill;
        std::uint32_t pieces = 0;
    };

    KvMemory(std::uint64_t tokens, std::uint32_t tokensPerPiece)
        : tokensPerPiece(tokensPerPiece)
        , piecesTotal(tokens / tokensPerPiece)
    {
    }

    /// Reserves memory for `tokens`; returns false without reserving anything if too few blocks are free.
    bool reserve(const std::string& stream, ReservationKind kind, std::uint64_t tokens)
    {
        std::uint64_t pieces = (tokens + this->tokensPerPiece - 1) / this->tokensPerPiece;
        if (this->piecesHeld + pieces > this->piecesTotal)
            return false;
        this->piecesHeld += pieces;
        this->byStream[stream] = Reservation { kind, static_cast<std::uint32_t>(pieces) };
        return true;
    }

    void setKind(const std::string& stream, ReservationKind kind)
    {
        auto found = this->byStream.find(stream);
        if (found != this->byStream.end())
            found->second.kind = kind;
    }

    void release(const std::string& stream)
    {
        auto found = this->byStream.find(stream);
        if (found == this->byStream.end())
            return;
        this->piecesHeld -= found->second.pieces;
        this->byStream.erase(found);
    }

    bool hasReservation(const std::string& stream) const { return this->byStream.count(stream) > 0; }
    const std::map<std::string, Reservation>& reservations() const { return this->byStream; }
    std::uint64_t held() const { return this->piecesHeld; }

    void clear()
    {
        this->byStream.clear();
        this->piecesHeld = 0;
    }

private:
    std::uint32_t tokensPerPiece;
    std::uint64_t piecesTotal;
    /// Invariant: equals the sum over `byStream` and does not exceed `piecesTotal`.
    std::uint64_t piecesHeld = 0;
    std::map<std::string, Reservation> byStream;
};

} // namespace peridotgrade::standins
