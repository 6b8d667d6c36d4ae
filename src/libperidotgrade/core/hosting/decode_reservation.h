// A decode reservation at the engine, requested or granted.
#pragma once

#include "attempt_key.h"
#include "capacity.h"
#include "peridotgrade/core/hosting/engine_command.h"
#include "peridotgrade/core/hosting/host_action.h"
#include "peridotgrade/core/messages/reservation_messages.h"

namespace peridotgrade {

/// One attempt's reservation for decoding. While it is queued, no resources are taken.
struct DecodeReservation {
    AttemptKey key;
    ConnectionId connection;
    Fingerprint fingerprint;
    Priority priority = Priority::Normal;
    bool isSuspect = false;
    EngineResources resources;
    /// Sequence number of the request, in order of arrival.
    std::uint64_t arrival = 0;
    /// Empty until decoding starts.
    EngineStreamId stream;
    /// Index of the next token that the engine is expected to produce.
    std::uint32_t nextIndex = 0;

    bool isDecoding() const { return !this->stream.raw().empty(); }
};

} // namespace peridotgrade
