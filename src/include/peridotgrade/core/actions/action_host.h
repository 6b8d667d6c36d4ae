// Application calls on the agent: reads, and actions that are started at most once per key.
#pragma once

#include "peridotgrade/core/base/timeline_event.h"
#include "peridotgrade/core/base/timer_service.h"
#include "peridotgrade/core/hosting/host_action.h"
#include "peridotgrade/core/messages/messages.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <variant>
#include <vector>

namespace peridotgrade {

/// Identifies one call handed to the application server.
using ApplicationCallId = StrongId<struct ApplicationCallIdTag, std::uint64_t>;

/// Asks for this call to be sent to the application server. An action (`isRepeatable` false) is sent once, on
/// a connection of its own, with `key` as its `Idempotency-Key`.
struct CallApplication {
    ApplicationCallId number;
    ApplicationCall call;
    IdempotencyKey key;
    bool isRepeatable = true;
    std::chrono::milliseconds timeout { 0 };
};

/// Result of a call to the application server.
enum class ApplicationCallResult : std::uint8_t {
    Answered,
    /// The call was certainly not executed: no connection was established.
    NotSent,
    /// The call was sent, but no complete response arrived.
    Lost,
};

using ActionHostAction = std::variant<SendToEntry, CallApplication>;

/// Settings of an action host.
struct ActionHostSettings {
    AgentId agent;
    Incarnation incarnation;
    /// Wall-clock time at which the host is constructed. If unset, keys are forgotten only because of
    /// `maxKeys`.
    WallTime startedAt;
    /// Started keys and tombstones are kept until their creation time is this long ago. From then on their
    /// keys are refused, so that a forgotten key cannot be taken for a new one, whatever any clock says.
    /// Longer than the entries' `maxKeyAge`, so that no key that they admit is refused for its age.
    std::chrono::milliseconds keyRetention { std::chrono::minutes { 35 } };
    /// Above this number the oldest keys are forgotten, and refused, earlier.
    std::size_t maxKeys = 100'000;
    /// Capacity of the cache of answers for repeated requests. Above it the oldest answers are evicted, but
    /// not their keys.
    std::uint64_t answerCacheBytes = 16 * 1024 * 1024;
};

/// Gives the only access to its application server. Its key table records each key once, as started or as a
/// tombstone. The host answers OpenSession, runs reads as they arrive, and reports the end of an action to
/// every connection that started or queried it. Driven like ModelHost; not thread safe.
class ActionHost {
public:
    ActionHost(ActionHostSettings settings, TimerService& timers, EventSink& events);
    ~ActionHost();
    ActionHost(const ActionHost&) = delete;
    ActionHost& operator=(const ActionHost&) = delete;

    void onConnected(ConnectionId connection);
    void onDisconnected(ConnectionId connection);
    void onMessage(ConnectionId connection, const EntryMessage& message);
    void onCallEnded(ApplicationCallId number, ApplicationCallResult result, ApplicationAnswer answer);

    /// Starts draining: sessions are notified, no new call is started, running calls finish.
    void drain();
    /// True if the host is draining and no call is open.
    bool isDrained() const;

    std::vector<ActionHostAction> takeActions();

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace peridotgrade
