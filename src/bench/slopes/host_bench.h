// A model host with many sessions and reservations, for measuring its memory.
#pragma once

#include "peridotgrade/core/hosting/model_host.h"

#include <cstdint>
#include <memory>

namespace peridotgrade::bench {

/// A host whose engine accepts every command and never finishes a stream.
class HostBench {
public:
    explicit HostBench(std::uint32_t placesTotal);
    ~HostBench();

    /// Connects `count` entry shards and opens a session for each.
    void openSessions(std::uint32_t count);
    /// Requests reservations for the open sessions in turn and starts a stream on each.
    void startStreams(std::uint32_t count, std::uint32_t promptBytes);
    std::uint32_t reservationsHeld() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace peridotgrade::bench
