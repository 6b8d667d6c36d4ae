// The core's source of randomness: a generator that is passed in and whose seed is logged.
#pragma once

#include <cstdint>
#include <random>

namespace peridotgrade {

/// A seeded generator; the same seed reproduces the same run. Not thread safe: each state shard has its own.
class RandomSource {
public:
    explicit RandomSource(std::uint64_t seed)
        : engine(seed)
    {
    }

    std::uint64_t next() { return this->engine(); }

    /// Uniform in [0, bound); `bound` must not be 0.
    std::uint64_t below(std::uint64_t bound) { return this->engine() % bound; }

    /// Uniform in [0, 1).
    double unit() { return static_cast<double>(this->engine() >> 11) * 0x1.0p-53; }

private:
    std::mt19937_64 engine;
};

} // namespace peridotgrade
