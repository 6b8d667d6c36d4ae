// A model host with many sessions and places, for slopes of its state.
#pragma once

#include "peridotgrade/core/hosting/model_host.h"

#include <cstdint>
#include <memory>

namespace peridotgrade::bench {

/// One host whose engine accepts everything and never finishes.
class HostBench {
public:
    explicit HostBench(std::uint32_t placesTotal);
    ~HostBench();

    /// Connects entry shards and opens their sessions.
    void openSessions(std::uint32_t count);
    /// Grants places to the open sessions in turn and starts their streams.
    void startStreams(std::uint32_t count, std::uint32_t promptBytes);
    std::uint32_t reservationsHeld() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace peridotgrade::bench
