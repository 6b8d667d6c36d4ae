// An entry process.
#pragma once

#include "peridotgrade/net/endpoint.h"
#include "peridotgrade/net/net_error.h"
#include "peridotgrade/ops/settings/entry_settings.h"

#include <memory>
#include <variant>

namespace peridotgrade {

/// The endpoints on which a running entry listens.
struct EntryAddresses {
    Endpoint callers;
    Endpoint admin;
    Endpoint peers;
};

/// Owns the shards, platform feeds and HTTP servers, runs the threads, and shuts down gracefully: on SIGTERM
/// or SIGINT it reports not ready, refuses new requests as not run, completes those in progress and stops.
class EntryNode {
public:
    /// `seed` seeds all random choices of the process and is logged.
    EntryNode(EntrySettings settings, std::uint64_t seed);
    ~EntryNode();
    EntryNode(const EntryNode&) = delete;
    EntryNode& operator=(const EntryNode&) = delete;

    /// Listens on all ports and starts serving.
    std::variant<EntryAddresses, NetError> start();
    /// Runs until a signal stops the process. Returns true if all requests were completed.
    bool run();

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace peridotgrade
