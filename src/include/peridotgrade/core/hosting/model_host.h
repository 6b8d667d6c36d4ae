// The agent's side of model requests: places, leases, prefills and streams of one engine.
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

/// Knobs of a model host.
struct ModelHostSettings {
    AgentId agent;
    Incarnation incarnation;
    /// Holds of a session lapse this long after its last renewal.
    std::chrono::milliseconds leaseDuration { 3000 };
    /// Wait before a cancellation that the engine has not confirmed is sent again.
    std::chrono::milliseconds cancelRetryInterval { 200 };
    /// How often the engine's streams are listed and compared with what is owned.
    std::chrono::milliseconds listInterval { 2000 };
    /// Prefills that run at the engine at once; more only slow each other down.
    std::uint32_t prefillsAtOnce = 1;
};

/// Gauges and totals, for metrics.
struct ModelHostCounters {
    std::uint32_t placesHeld = 0;
    std::uint32_t sessions = 0;
    std::uint64_t granted = 0;
    std::uint64_t refused = 0;
    std::uint64_t lapsed = 0;
    std::uint64_t orphansFreed = 0;
    std::uint64_t engineCrashes = 0;
};

/// The only way to its engine. It grants places with KV memory under the lease of an entry shard's session,
/// runs prefills in order, relays token streams, and frees at once whatever is cancelled, lapsed, or owned by
/// nobody. After a restart it lists what the engine holds and frees what no live session owns.
///
/// A deterministic state machine, driven like ModelRouter. Not thread safe.
class ModelHost {
public:
    ModelHost(ModelHostSettings settings, TimerService& timers, RandomSource& random, EventSink& events);
    ~ModelHost();
    ModelHost(const ModelHost&) = delete;
    ModelHost& operator=(const ModelHost&) = delete;

    void onConnected(ConnectionId connection);
    /// The holds of the connection's session are released at once: nobody is left to whom results could go.
    void onDisconnected(ConnectionId connection);
    void onMessage(ConnectionId connection, const EntryMessage& message);
    void onEngineEvent(const EngineEvent& event);

    /// Takes no new work from now on; tells all sessions. What runs is finished, and so are prefills that
    /// were accepted and places that were granted before. For a backend server that is leaving.
    void drain();
    /// The same for a change of role or version, after which the engine takes work again.
    void drainForChange();
    /// Ends a drainForChange and tells all sessions; false if the backend server is leaving.
    bool resume();
    /// True when draining and nothing is held or running any more.
    bool isDrained() const;

    /// The configuration version in force here, told on every answer.
    void setVersion(ConfigVersion version);

    std::vector<HostAction> takeActions();
    const ModelHostCounters& counters() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace peridotgrade
