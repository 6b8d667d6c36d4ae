// One call to an engine in progress.
#pragma once

#include "peridotgrade/core/hosting/engine_command.h"
#include "peridotgrade/net/http_client.h"

#include <cstdint>
#include <memory>

namespace peridotgrade {

/// A prefill or decode from its command to its end at the engine.
struct EngineCall {
    EngineStreamId stream;
    /// Index of the next token of a decode.
    std::uint32_t nextIndex = 0;
    /// True once cancelled: its results are told no more.
    bool isCancelled = false;
    /// True once the engine died with it, or the client forgot it: nothing is told of it at all.
    bool isLost = false;
    /// True once the engine has surely received the call. Until then a cancellation may overtake it.
    bool hasArrived = false;
    /// The response being read; null before and after.
    HttpStream* body = nullptr;
};

using EngineCallPointer = std::shared_ptr<EngineCall>;

} // namespace peridotgrade
