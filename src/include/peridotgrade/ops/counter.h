// A monotonic counter metric.
#pragma once

#include <atomic>
#include <cstdint>

namespace peridotgrade {

/// Thread safe.
class Counter {
public:
    void add(std::uint64_t amount = 1) { this->total.fetch_add(amount, std::memory_order_relaxed); }
    std::uint64_t value() const { return this->total.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> total = 0;
};

} // namespace peridotgrade
