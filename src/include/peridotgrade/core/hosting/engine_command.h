// Commands from a model host to its engine.
#pragma once

#include "peridotgrade/core/base/ids.h"
#include "peridotgrade/core/messages/reservation_messages.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>

namespace peridotgrade {

/// Id of a stream or prefill at the engine. The agent never reuses one.
using EngineStreamId = StrongId<struct EngineStreamIdTag, std::string>;

/// Computes a prompt and keeps its KV cache for export.
struct EnginePrefill {
    EngineStreamId stream;
    ModelId model;
    std::string prompt;
    Priority priority = Priority::Normal;
};

/// Imports the KV cache, if there is one, and decodes.
struct EngineDecode {
    EngineStreamId stream;
    ModelId model;
    std::string prompt;
    std::uint32_t firstIndex = 0;
    std::uint32_t maxOutputTokens = 0;
    Priority priority = Priority::Normal;
    KvHandle handle;
    std::string exporter;
    /// A KV transfer that takes longer than this is aborted.
    std::chrono::milliseconds transferTimeout { 0 };
};

/// Stops a stream or prefill and frees its memory, exported results included. The host repeats it until the
/// engine confirms.
struct EngineCancel {
    EngineStreamId stream;
};

/// Lists everything that the engine holds memory for.
struct EngineList { };

using EngineCommand = std::variant<EnginePrefill, EngineDecode, EngineCancel, EngineList>;

} // namespace peridotgrade
