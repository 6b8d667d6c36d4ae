// What the platform's list says of one backend server.
#pragma once

#include "peridotgrade/core/base/ids.h"
#include "peridotgrade/core/base/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace peridotgrade {

/// Name of a backend server in the platform's list; a restarted server may keep it.
using ServerId = StrongId<struct ServerIdTag, std::string>;

/// What a language model server does at the moment.
enum class ServerRole : std::uint8_t { None, Prefill, Decode };

/// `none`, `prefill` or `decode`.
std::string_view nameOf(ServerRole role);

struct ServerRecord {
    ServerId id;
    ServiceId service;
    /// IP address and port, as the server published it.
    std::string address;
    DataCentreId dataCentre;
    bool isDraining = false;
    ServerRole role = ServerRole::None;
    std::uint32_t slots = 0;
    /// Start of this run of the server.
    WallTime startedAt {};
    /// Number of the report within the run.
    std::uint64_t sequence = 0;
};

} // namespace peridotgrade
