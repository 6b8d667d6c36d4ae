// What a model host tells its engine to do.
#pragma once

#include "peridotgrade/core/base/ids.h"
#include "peridotgrade/core/messages/reservation_messages.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>

namespace peridotgrade {

/// Name of a stream or prefill at the engine, unique among all that the agent ever started there.
using EngineStreamId = StrongId<struct EngineStreamIdTag, std::string>;

/// Compute a prompt and keep its KV cache for export.
struct EnginePrefill {
    EngineStreamId stream;
    ModelId model;
    std::string prompt;
    Priority priority = Priority::Normal;
};

/// Import a KV cache (if there is one) and decode.
struct EngineDecode {
    EngineStreamId stream;
    ModelId model;
    std::string prompt;
    std::uint32_t firstIndex = 0;
    std::uint32_t maxOutputTokens = 0;
    Priority priority = Priority::Normal;
    KvHandle handle;
    std::string exporter;
    /// The transfer is given up after this.
    std::chrono::milliseconds transferTimeout { 0 };
};

/// Stop a stream or prefill and free its memory, exported results included. Repeated until confirmed.
struct EngineCancel {
    EngineStreamId stream;
};

/// List everything the engine holds memory for.
struct EngineList { };

using EngineCommand = std::variant<EnginePrefill, EngineDecode, EngineCancel, EngineList>;

} // namespace peridotgrade
