// Sizes, rates and faults of the engine stand-in.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace peridotgrade::standins {

/// All numbers may be changed through the control port while the engine runs.
struct EngineSettings {
    std::string role = "mixed";
    std::vector<std::string> models;
    std::string version = "1";
    /// True: orders with an older fencing number than the highest seen are refused.
    bool checksFence = false;

    // Memory.
    std::uint32_t places = 20;
    std::uint64_t kvTokens = 20 * 2048;
    std::uint32_t kvTokensPerPiece = 16;
    std::uint64_t kvBytesPerToken = 256;
    std::uint64_t cacheTokens = 64 * 512;

    // Time.
    std::uint64_t stepUs = 8000;
    std::uint64_t stepPerStreamUs = 200;
    std::uint64_t prefillTokensPerSecond = 8000;
    /// Least time of a prefill, whatever is cached.
    std::uint64_t prefillBaseUs = 3000;
    std::uint64_t keptForMs = 800;
    std::uint64_t linkBytesPerSecond = 200'000'000;
    std::uint64_t loadLagMs = 500;
    std::uint64_t cacheEventDelayMs = 300;

    // Faults.
    /// Share of cache events that are never published.
    double cacheEventLoss = 0.05;
    /// True: exports send nothing more.
    bool isStalled = false;
    /// That many cancellations to come get 503 and do nothing.
    std::uint64_t failCancels = 0;
    /// That many cancellations to come take effect, and their answer is lost.
    std::uint64_t loseCancelAnswers = 0;
    /// That many loads to come fail.
    std::uint64_t failLoads = 0;
};

} // namespace peridotgrade::standins
