// A call to an engine that is in progress.
#pragma once

#include "peridotgrade/core/hosting/engine_command.h"
#include "peridotgrade/net/http_client.h"

#include <cstdint>
#include <memory>

namespace peridotgrade {

/// A prefill or decode, from its command until it has ended at the engine.
struct EngineCall {
    EngineStreamId stream;
    /// Index of the next token of a decode.
    std::uint32_t nextIndex = 0;
    /// True once cancelled: its results are no longer reported.
    bool isCancelled = false;
    /// True once the engine died or has confirmed the cancellation: the call itself reports nothing more.
    bool isLost = false;
    /// True once the engine has responded or the request has failed. Until then a cancellation may overtake
    /// the request.
    bool hasArrived = false;
    /// The response that is being read; null before and after.
    HttpStream* body = nullptr;
};

using EngineCallPointer = std::shared_ptr<EngineCall>;

} // namespace peridotgrade
