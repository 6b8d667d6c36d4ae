// Settings that entries and agents have in common.
#pragma once

#include "peridotgrade/core/base/ids.h"
#include "peridotgrade/net/endpoint.h"

#include <cstdint>
#include <string>
#include <vector>

namespace peridotgrade {

/// Identity and addresses of a process, its peers, and its resources.
struct NodeSettings {
    /// Name of the VM.
    std::string name;
    DataCentreId dataCentre;
    /// The address that other peridot processes connect to.
    Endpoint peerListen;
    /// Address of metrics, health and timeline; on an entry also of the operator API.
    Endpoint adminListen;
    Endpoint platform;
    /// Other peridot processes, queried for the configuration while the log is unreachable.
    std::vector<Endpoint> peers;
    /// `trace`, `debug`, `info`, `warn` or `error`.
    std::string logLevel = "info";
    std::uint32_t shards = 2;
    std::uint32_t threads = 2;
};

} // namespace peridotgrade
