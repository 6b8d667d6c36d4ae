// Settings that entries and agents have in common.
#pragma once

#include "peridotgrade/core/base/ids.h"
#include "peridotgrade/net/endpoint.h"

#include <cstdint>
#include <string>
#include <vector>

namespace peridotgrade {

/// Who a process is and whom it knows from the start.
struct NodeSettings {
    /// Name of the VM.
    std::string name;
    DataCentreId dataCentre;
    /// Where other peridot processes connect to.
    Endpoint peerListen;
    /// Metrics, health and time line; on an entry also the operators' interface.
    Endpoint adminListen;
    Endpoint platform;
    /// Other peridot processes to ask for the configuration when the log is out of reach.
    std::vector<Endpoint> peers;
    /// `trace`, `debug`, `info`, `warn` or `error`.
    std::string logLevel = "info";
    std::uint32_t shards = 2;
    std::uint32_t threads = 2;
};

} // namespace peridotgrade
