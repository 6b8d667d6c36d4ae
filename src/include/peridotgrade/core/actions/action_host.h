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
/// of its own.
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
    /// Started and sealed keys are kept at least this long: longer than any claim can be acted on.
    std::chrono::milliseconds keepKeys { std::chrono::minutes { 35 } };
    /// Answers kept for repeats, in bytes; beyond it the oldest are forgotten, their keys are not.
    std::uint64_t keepAnswerBytes = 16 * 1024 * 1024;
};

/// The only way to its application server. Its table says of each key: started or sealed; a key gets there
/// once. Driven like ModelHost; not thread safe.
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

    void drain();
    bool isDrained() const;

    std::vector<ActionHostAction> takeActions();

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace peridotgrade
