// Engines and load of a play of placement.
#pragma once

#include "peridotgrade/core/base/time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace peridotgrade::placement_play {

using namespace std::chrono_literals;

// Engines of 26,000 tokens at 0.7, 0.7 and 1.7 of the nominal speed, which other users of their machines slow
// to 2.5 times the usual time for 0.6 s, in 15 of 100 seconds; prompts of 3,200 and answers of 750 tokens.
inline constexpr std::uint32_t EngineTokens = 26'000;
inline constexpr std::uint32_t TokensPerEvent = 8;
inline constexpr double Noise = 2.5;
inline constexpr double NoiseSeconds = 0.6;
inline constexpr double NoiseShare = 0.15;
inline constexpr std::chrono::milliseconds RoundTrip { 8 };
inline constexpr std::chrono::milliseconds Target { 900 };
inline constexpr std::chrono::milliseconds ReservationWait { 600 };
inline constexpr double PrefillPerToken = 30e-6;
inline constexpr double PrefillFixed = 10e-3;
inline constexpr double StepFixed = 18e-3;
inline constexpr double StepPerStream = 2.2e-3;

// Exponents as in GatewayState.
inline constexpr double DecodeSelectivity = 3;
inline constexpr double PrefillSelectivity = 5;
/// Requests of the first seconds, in which the speeds are learned, do not count.
inline constexpr TimePoint CountedFrom { 20s };

/// A fast engine counts as known at an entry from this ratio on.
inline constexpr double KnownRatio = 0.7;
/// The speeds count as known if this share of the fast engines is, over all entries.
inline constexpr double KnownShare = 0.9;

struct Deployment {
    std::size_t prefill = 3;
    std::size_t decode = 9;
    std::size_t entries = 5;
    double perSecond = 15;
    double slow = 0.7;
    double fast = 1.7;
    double noise = Noise;
    bool isPaced = true;
    bool hasBacklog = false;
    /// Entries send each other what they have measured.
    bool isSharing = false;
};

} // namespace peridotgrade::placement_play
