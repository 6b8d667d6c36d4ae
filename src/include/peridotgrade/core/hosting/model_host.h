// The agent's side of model requests: reservations, leases, prefills and streams of one engine.
#pragma once

#include "peridotgrade/core/base/random_source.h"
#include "peridotgrade/core/base/timeline_event.h"
#include "peridotgrade/core/base/timer_service.h"
#include "peridotgrade/core/hosting/engine_event.h"
#include "peridotgrade/core/hosting/host_action.h"

#include <chrono>
#include <memory>
#include <vector>

namespace peridotgrade {

/// Settings of a model host.
struct ModelHostSettings {
    AgentId agent;
    Incarnation incarnation;
    /// The reservations of a session expire this long after its last renewal.
    std::chrono::milliseconds leaseDuration { 3000 };
    /// Interval at which a cancellation or a listing is repeated until the engine answers it.
    std::chrono::milliseconds cancelRetryInterval { 200 };
    /// How often the engine's streams are listed and reconciled with the host's own table.
    std::chrono::milliseconds listInterval { 2000 };
    /// Prefills that run concurrently at the engine; more of them only slow each other down.
    std::uint32_t prefillsAtOnce = 1;
};

/// Gauges and totals for metrics.
struct ModelHostCounters {
    std::uint32_t reservationsHeld = 0;
    std::uint32_t sessions = 0;
    std::uint64_t granted = 0;
    std::uint64_t refused = 0;
    std::uint64_t leasesExpired = 0;
    std::uint64_t orphansFreed = 0;
    std::uint64_t engineCrashes = 0;
};

/// Has exclusive access to its engine. It grants reservations of a batch slot and KV memory under the lease
/// of an entry shard's session, schedules prefills, relays token streams, and immediately frees whatever is
/// cancelled, expired or orphaned. After a restart it lists what the engine holds and frees what no live
/// session owns.
///
/// A deterministic state machine, driven like ModelRouter. Not thread safe.
class ModelHost {
public:
    ModelHost(ModelHostSettings settings, TimerService& timers, RandomSource& random, EventSink& events);
    ~ModelHost();
    ModelHost(const ModelHost&) = delete;
    ModelHost& operator=(const ModelHost&) = delete;

    void onConnected(ConnectionId connection);
    /// Releases the reservations of the connection's session at once, since no one is left to receive
    /// results.
    void onDisconnected(ConnectionId connection);
    void onMessage(ConnectionId connection, const EntryMessage& message);
    void onEngineEvent(const EngineEvent& event);

    /// Stops accepting new work and notifies all sessions. Running work, accepted prefills and granted
    /// reservations are completed. For a backend server that leaves the cluster.
    void drain();
    /// Drains as `drain` does, for a change of role or version after which the engine accepts work again.
    void drainForChange();
    /// Ends a drainForChange and notifies all sessions; false if the backend server is leaving.
    bool resume();
    /// True while draining, once nothing is reserved or running.
    bool isDrained() const;

    /// Sets the configuration version in force, which SessionOpened carries.
    void setVersion(ConfigVersion version);

    std::vector<HostAction> takeActions();
    const ModelHostCounters& counters() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace peridotgrade
