// Kinds of measured times.
#pragma once

#include <cstddef>
#include <cstdint>

namespace peridotgrade {

/// What a measured time is the time of. Times of different kinds are not compared.
enum class PaceSample : std::uint8_t {
    /// Prefill of a prompt of the mean size, in seconds.
    Prefill,
    /// One event of a stream, in seconds.
    Event,
    /// Plain call, in seconds, without the wait for a slot.
    PlainCall,
};

constexpr std::size_t PaceSampleKinds = 3;

} // namespace peridotgrade
