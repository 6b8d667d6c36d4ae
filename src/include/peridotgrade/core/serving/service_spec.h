// One service of the operator's configuration, with the limits of its servers.
#pragma once

#include "peridotgrade/core/base/ids.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace peridotgrade {

/// Capabilities of the engines of a language model service.
struct EngineSpec {
    std::uint32_t slots = 0;
    std::uint32_t kvCapacityTokens = 0;
    /// Tokens in one event of a stream.
    std::uint32_t tokensPerEvent = 1;
    /// How long a prefill engine keeps an exported KV cache for the engine that fetches it.
    std::chrono::milliseconds kvHandleLifetime { 0 };
    /// How long an engine is unavailable when it changes between prefill and decode.
    std::chrono::milliseconds roleSwitchTime { 0 };
    /// Maximum lifetime of a reservation.
    std::chrono::milliseconds maxReservation { 0 };
    /// Whether a running stream can keep a copy of its KV cache at another engine.
    bool canBackUp = false;
};

struct ServiceSpec {
    ServiceId name;
    std::string healthPath;
    /// Connections that each server accepts from all entries together.
    std::uint32_t maxConnections = 0;
    /// Nothing for plain services.
    std::optional<EngineSpec> engine;
};

} // namespace peridotgrade
