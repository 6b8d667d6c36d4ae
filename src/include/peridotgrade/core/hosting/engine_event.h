// Events from an engine to its model host.
#pragma once

#include "peridotgrade/core/hosting/engine_command.h"
#include "peridotgrade/core/messages/session_messages.h"
#include "peridotgrade/core/messages/stream_messages.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace peridotgrade {

/// The prefill finished; the engine at `exporter` retains its KV cache for `keptFor`.
struct EnginePrefillDone {
    EngineStreamId stream;
    KvHandle handle;
    std::string exporter;
    std::uint64_t kvBytes = 0;
    std::uint32_t cachedTokens = 0;
    std::chrono::milliseconds keptFor { 0 };
};

/// Consecutive tokens of a stream, in order of index.
struct EngineTokens {
    EngineStreamId stream;
    std::uint32_t firstIndex = 0;
    std::vector<std::string> pieces;
    bool isLast = false;
    FinishReason finishReason = FinishReason::Stop;
};

/// The prefill or stream ended without a result; the engine holds no memory for it.
struct EngineStreamFailed {
    EngineStreamId stream;
    AttemptFailure reason = AttemptFailure::EngineError;
};

/// The engine confirms that it no longer holds memory for the stream.
struct EngineCancelled {
    EngineStreamId stream;
};

/// Answer to EngineList: all streams and retained prefill results. The host cancels those it does not own.
struct EngineListing {
    std::vector<EngineStreamId> streams;
};

/// The engine stopped answering or reported a restart: everything it held is lost.
struct EngineDied { };

/// The engine answers, either for the first time or as a new incarnation.
struct EngineUp {
    Incarnation incarnation;
    std::uint32_t placesTotal = 0;
    std::uint64_t kvTokensTotal = 0;
    std::uint32_t kvTokensPerPiece = 0;
    EngineRole role = EngineRole::Mixed;
    std::vector<ModelId> models;
    double prefillTokensPerSecond = 0;
};

using EngineEvent = std::variant<EnginePrefillDone, EngineTokens, EngineStreamFailed, EngineCancelled,
    EngineListing, EngineDied, EngineUp>;

} // namespace peridotgrade
