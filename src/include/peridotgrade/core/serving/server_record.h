// Record of one backend server in the platform's list.
#pragma once

#include "peridotgrade/core/base/ids.h"
#include "peridotgrade/core/base/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace peridotgrade {

/// Name of a backend server in the platform's list; a restarted server may keep it.
using ServerId = StrongId<struct ServerIdTag, std::string>;

/// Version of a server's software, as the server states it. Not the version of its weights.
using SoftwareVersion = StrongId<struct SoftwareVersionTag, std::string>;

/// Current role of a language model server.
enum class ServerRole : std::uint8_t { None, Prefill, Decode };

/// `none`, `prefill` or `decode`.
std::string_view nameOf(ServerRole role);

struct ServerRecord {
    ServerId id;
    ServiceId service;
    /// IP address and port, as the server published it.
    std::string address;
    DataCentreId dataCentre;
    SoftwareVersion softwareVersion;
    bool isDraining = false;
    ServerRole role = ServerRole::None;
    std::uint32_t slots = 0;
    /// Start of this incarnation of the server.
    WallTime startedAt {};
    /// Sequence number of the report within the incarnation.
    std::uint64_t sequence = 0;
};

} // namespace peridotgrade
