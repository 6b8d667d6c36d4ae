// Sizes, rates and injected faults of the fake engine.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace peridotgrade::standins {

/// The values registered in `Engine::addSwitches` can be changed through the control port at run time.
struct EngineSettings {
    std::string role = "mixed";
    std::vector<std::string> models;
    std::string version = "1";
    /// Whether commands with a fencing token lower than the highest one seen are refused.
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
    /// Minimum duration of a prefill, even if the whole prompt is cached.
    std::uint64_t prefillBaseUs = 3000;
    std::uint64_t keptForMs = 800;
    std::uint64_t linkBytesPerSecond = 200'000'000;
    std::uint64_t loadLagMs = 500;
    std::uint64_t cacheEventDelayMs = 300;

    // Faults.
    /// Fraction of cache events that are never published.
    double cacheEventLoss = 0.05;
    /// KV cache exports send no more data.
    bool isStalled = false;
    /// Number of upcoming cancellations that get status 503 and have no effect.
    std::uint64_t failCancels = 0;
    /// Number of upcoming cancellations that take effect but whose response is lost.
    std::uint64_t loseCancelAnswers = 0;
    /// Number of upcoming model loads that fail.
    std::uint64_t failLoads = 0;
};

} // namespace peridotgrade::standins
