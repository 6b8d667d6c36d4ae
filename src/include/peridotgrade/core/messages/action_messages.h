// Messages of application calls: reads, which may be repeated, and actions, which may not.
#pragma once

#include "peridotgrade/core/base/ids.h"
#include "peridotgrade/core/base/outcome.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace peridotgrade {

/// The caller's idempotency key: a time-ordered UUID (version 7) in its usual text form.
using IdempotencyKey = StrongId<struct IdempotencyKeyTag, std::string>;

/// Random number that distinguishes two claims of one key, whichever process made them.
using ClaimNonce = StrongId<struct ClaimNonceTag, std::uint64_t>;

/// A header field that is passed through.
struct HeaderField {
    std::string name;
    std::string value;
};

/// An application call as the caller sent it, passed through unchanged.
struct ApplicationCall {
    std::string method;
    /// Path and query.
    std::string target;
    std::string contentType;
    std::vector<HeaderField> headers;
    std::string body;
};

/// The application server's response, passed through unchanged.
struct ApplicationAnswer {
    std::uint16_t status = 0;
    std::string contentType;
    std::vector<HeaderField> headers;
    std::string body;
};

/// Entry to agent: run a read, which may be repeated.
struct StartRead {
    AttemptId attempt;
    ApplicationCall call;
    std::chrono::milliseconds timeLeft { 0 };
    ConfigVersion version;
};

/// Agent to entry: the application server's response to a read.
struct ReadAnswered {
    AttemptId attempt;
    ApplicationAnswer answer;
};

/// Agent to entry: the read got no response and may be retried at another agent.
struct ReadFailed {
    AttemptId attempt;
    bool isDraining = false;
};

/// Entry to agent: run the action once, if the agent has neither started its key nor set a tombstone for it,
/// and if `incarnation` is the agent's.
struct StartAction {
    AttemptId attempt;
    IdempotencyKey key;
    ClaimNonce nonce;
    Incarnation incarnation;
    ApplicationCall call;
    std::chrono::milliseconds timeLeft { 0 };
    ConfigVersion version;
};

/// Entry to agent: report the state of a key. With `seal`, the agent sets a tombstone for a key that it has
/// not started, so that it never starts it later.
struct QueryAction {
    AttemptId attempt;
    IdempotencyKey key;
    Incarnation incarnation;
    bool seal = false;
};

/// State of a key in an agent's table.
enum class ActionState : std::uint8_t {
    /// The key has a tombstone: it was never started here and never will be.
    Sealed,
    /// Passed to the application server, which has not responded yet.
    Running,
    /// Finished; the response is included.
    Answered,
    /// Started, but the application server's response was lost.
    Lost,
    /// Finished, but the response is no longer kept.
    Forgotten,
    /// Not started and without a tombstone (only without `seal`).
    Absent,
    /// The message names another incarnation: nothing is known about the key.
    WrongIncarnation,
    /// Refused before it was started (draining, too late); the key has a tombstone here.
    RefusedUnstarted,
};

std::string_view nameOf(ActionState state);

/// Agent to entry: the reply to StartAction and QueryAction.
struct ActionReport {
    AttemptId attempt;
    IdempotencyKey key;
    Incarnation incarnation;
    ActionState state = ActionState::Absent;
    ApplicationAnswer answer;
};

} // namespace peridotgrade
