// The gateway process: listeners, store followers, group membership and shutdown.
#pragma once

#include "peridotgrade/gateway/gateway_settings.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace peridotgrade {

/// Serves callers on the platform's machines until SIGTERM. Runs on one thread; see docs/PLATFORM.md.
class GatewayNode {
public:
    /// `settingsFile` is read again on SIGHUP.
    GatewayNode(GatewaySettings settings, std::string settingsFile, std::uint64_t seed);
    ~GatewayNode();

    /// Starts to listen; an error names the address that cannot be used.
    std::optional<std::string> start();
    /// Returns when shutdown has completed; false if requests had to be cut off.
    bool run();

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace peridotgrade
