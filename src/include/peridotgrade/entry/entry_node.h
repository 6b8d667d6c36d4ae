// A whole entry process.
#pragma once

#include "peridotgrade/net/endpoint.h"
#include "peridotgrade/net/net_error.h"
#include "peridotgrade/ops/settings/entry_settings.h"

#include <memory>
#include <variant>

namespace peridotgrade {

/// Where a running entry listens.
struct EntryAddresses {
    Endpoint callers;
    Endpoint admin;
    Endpoint peers;
};

/// Puts shards, platform feeds and HTTP together, runs the threads, and stops without cutting off a request:
/// on SIGTERM or SIGINT it stops being ready, refuses new requests as not run, finishes those in progress,
/// and ends.
class EntryNode {
public:
    /// `seed` is the root of all random choices of the process, and is logged.
    EntryNode(EntrySettings settings, std::uint64_t seed);
    ~EntryNode();
    EntryNode(const EntryNode&) = delete;
    EntryNode& operator=(const EntryNode&) = delete;

    /// Listens on all ports and begins to work.
    std::variant<EntryAddresses, NetError> start();
    /// Returns when the process has been told to stop and is done. True if nothing was cut off.
    bool run();

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace peridotgrade
