// A place at the engine, asked for or granted.
#pragma once

#include "attempt_key.h"
#include "capacity.h"
#include "peridotgrade/core/hosting/engine_command.h"
#include "peridotgrade/core/hosting/host_action.h"
#include "peridotgrade/core/messages/place_messages.h"

namespace peridotgrade {

/// One attempt's place. While it is only asked for, nothing is reserved.
struct DecodeReservation {
    AttemptKey key;
    ConnectionId connection;
    Fingerprint fingerprint;
    Priority priority = Priority::Normal;
    bool isSuspect = false;
    EngineResources resources;
    /// Order of arrival among asks.
    std::uint64_t arrival = 0;
    /// Empty until the decode is started.
    EngineStreamId stream;
    /// Index of the next token the engine has to produce.
    std::uint32_t nextIndex = 0;

    bool isDecoding() const { return !this->stream.raw().empty(); }
};

} // namespace peridotgrade
