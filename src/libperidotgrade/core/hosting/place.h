// A place at the engine, asked for or granted.
#pragma once

#include "capacity.h"
#include "hold_key.h"
#include "peridotgrade/core/hosting/engine_command.h"
#include "peridotgrade/core/hosting/host_action.h"
#include "peridotgrade/core/messages/reservation_messages.h"

namespace peridotgrade {

/// One attempt's place. While it is only asked for, nothing is reserved.
struct Place {
    HoldKey key;
    ConnectionId connection;
    Fingerprint fingerprint;
    Priority priority = Priority::Normal;
    bool isSuspect = false;
    Reservation reservation;
    /// Order of arrival among asks.
    std::uint64_t arrival = 0;
    /// Empty until the decode is started.
    EngineStreamId stream;
    /// Index of the next token the engine has to produce.
    std::uint32_t nextIndex = 0;

    bool isDecoding() const { return !this->stream.raw().empty(); }
};

} // namespace peridotgrade
