// The agent's side of application calls: the table that is the point of no return.
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

/// Names one call handed to the application server.
using CallNumber = StrongId<struct CallNumberTag, std::uint64_t>;

/// Hand this call to the application server; an action (`isRepeatable` false) is sent once, on a connection
/// of its own, with `key` as its `Idempotency-Key`.
struct CallApplication {
    CallNumber number;
    ApplicationCall call;
    IdempotencyKey key;
    bool isRepeatable = true;
    std::chrono::milliseconds timeout { 0 };
};

/// How a call to the application server ended.
enum class CallResult : std::uint8_t {
    Answered,
    /// Surely not run: no connection came about.
    NotSent,
    /// Sent, but no whole answer came.
    Lost,
};

using ActionHostAction = std::variant<SendToEntry, CallApplication>;

/// Knobs of an action host.
struct ActionHostSettings {
    AgentId agent;
    Incarnation incarnation;
    /// Time of day when the host is made. Without it keys are forgotten by their number alone.
    WallTime startedAt;
    /// Started and sealed keys are kept until their own time is this long ago, and refused from then on: a
    /// forgotten key cannot be taken for a new one, whatever any clock says. Longer than the entries'
    /// `maxKeyAge`, so that no key that they admit is refused for its age.
    std::chrono::milliseconds keepKeys { std::chrono::minutes { 35 } };
    /// Beyond this many the oldest keys are forgotten, and refused, earlier.
    std::size_t maxKeys = 100'000;
    /// Answers kept for repeats, in bytes; beyond it the oldest are forgotten, their keys are not.
    std::uint64_t keepAnswerBytes = 16 * 1024 * 1024;
};

/// The only way to its application server. Its table says of each key: started or sealed; a key gets there
/// once. It answers OpenSession, runs reads as they come, and tells of an action's end to whoever asked for
/// it last. Driven like ModelHost; not thread safe.
class ActionHost {
public:
    ActionHost(ActionHostSettings settings, TimerService& timers, EventSink& events);
    ~ActionHost();
    ActionHost(const ActionHost&) = delete;
    ActionHost& operator=(const ActionHost&) = delete;

    void onConnected(ConnectionId connection);
    void onDisconnected(ConnectionId connection);
    void onMessage(ConnectionId connection, const EntryMessage& message);
    void onCallEnded(CallNumber number, CallResult result, ApplicationAnswer answer);

    /// The server is leaving: sessions are told, nothing new is started, what runs is finished.
    void drain();
    /// True when draining and no call is open.
    bool isDrained() const;

    std::vector<ActionHostAction> takeActions();

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace peridotgrade
