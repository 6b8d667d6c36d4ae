// Memory for bodies of requests and answers that are held as a whole.
#pragma once

#include <atomic>
#include <cstddef>
#include <utility>

namespace peridotgrade {

/// Counts the bytes of all bodies that are held at the same time, up to a capacity. Each body is bounded by
/// itself too; this bounds their sum. Thread safe.
class BodyMemory {
public:
    /// Bodies up to this size, in bytes, may use the whole capacity, larger ones `LargeBodyShare` of it: a
    /// few large bodies that arrive or leave slowly must not keep all others out.
    static constexpr std::size_t SmallBodyBytes = 64 * 1024;
    static constexpr double LargeBodyShare = 0.75;

    explicit BodyMemory(std::size_t capacity)
        : capacity(capacity)
    {
    }
    BodyMemory(const BodyMemory&) = delete;
    BodyMemory& operator=(const BodyMemory&) = delete;

    std::size_t used() const { return this->usedBytes; }

    /// The part of one body. Returns its bytes when it is destroyed. Not thread safe.
    class Share {
    public:
        /// With null every size is granted.
        explicit Share(BodyMemory* memory = nullptr)
            : memory(memory)
        {
        }
        ~Share() { this->release(); }
        Share(Share&& other) noexcept
            : memory(other.memory)
            , bytes(std::exchange(other.bytes, 0))
        {
        }
        Share& operator=(Share&& other) noexcept
        {
            if (this == &other)
                return *this;
            this->release();
            this->memory = other.memory;
            this->bytes = std::exchange(other.bytes, 0);
            return *this;
        }

        /// Returns false, and adds nothing, if the capacity for a body of this size is used up.
        bool tryAdd(std::size_t more)
        {
            if (this->memory == nullptr)
                return true;
            if (!this->memory->tryTake(more, this->bytes + more > SmallBodyBytes))
                return false;
            this->bytes += more;
            return true;
        }

        void release()
        {
            if (this->memory != nullptr)
                this->memory->usedBytes -= std::exchange(this->bytes, 0);
        }

    private:
        BodyMemory* memory;
        std::size_t bytes = 0;
    };

private:
    bool tryTake(std::size_t more, bool isLarge)
    {
        std::size_t limit = isLarge
            ? static_cast<std::size_t>(static_cast<double>(this->capacity) * LargeBodyShare)
            : this->capacity;
        std::size_t used = this->usedBytes;
        do {
            if (used > limit || more > limit - used)
                return false;
        } while (!this->usedBytes.compare_exchange_weak(used, used + more));
        return true;
    }

    const std::size_t capacity;
    /// Invariant: at most `capacity`.
    std::atomic<std::size_t> usedBytes = 0;
};

} // namespace peridotgrade
