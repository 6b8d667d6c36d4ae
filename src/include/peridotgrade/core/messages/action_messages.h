// Messages of application calls: reads, and actions that may not be repeated.
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

/// Tells apart two claims of one key, whoever made them; random.
using ClaimNonce = StrongId<struct ClaimNonceTag, std::uint64_t>;

/// One header field that is passed through.
struct HeaderField {
    std::string name;
    std::string value;
};

/// An application call as the caller made it, passed through unchanged.
struct ApplicationCall {
    std::string method;
    /// Path and query.
    std::string target;
    std::string contentType;
    std::vector<HeaderField> headers;
    std::string body;
};

/// The application server's answer, passed through unchanged.
struct ApplicationAnswer {
    std::uint16_t status = 0;
    std::string contentType;
    std::vector<HeaderField> headers;
    std::string body;
};

/// Entry to agent: a read, which may be repeated.
struct StartRead {
    AttemptId attempt;
    ApplicationCall call;
    std::chrono::milliseconds timeLeft { 0 };
    ConfigVersion version;
};

/// Agent to entry.
struct ReadAnswered {
    AttemptId attempt;
    ApplicationAnswer answer;
};

/// Agent to entry: no answer was had; a read may be tried elsewhere.
struct ReadFailed {
    AttemptId attempt;
    bool isDraining = false;
};

/// Entry to agent: run the action, once, if its key is neither started nor sealed here and `incarnation` is
/// this agent's.
struct StartAction {
    AttemptId attempt;
    IdempotencyKey key;
    ClaimNonce nonce;
    Incarnation incarnation;
    ApplicationCall call;
    std::chrono::milliseconds timeLeft { 0 };
    ConfigVersion version;
};

/// Entry to agent: what became of a key? With `seal`, a key not started here is sealed, so that it never will
/// be.
struct QueryAction {
    AttemptId attempt;
    IdempotencyKey key;
    Incarnation incarnation;
    bool seal = false;
};

/// What an agent's table says of a key.
enum class ActionState : std::uint8_t {
    /// Never started and now never will be, here.
    Sealed,
    /// Handed to the application server; the answer is not there yet.
    Running,
    /// Finished, with the answer.
    Answered,
    /// Started, but the application server's answer was lost.
    Lost,
    /// Finished, but the answer is no longer kept.
    Forgotten,
    /// Not started and not sealed (only without `seal`).
    Absent,
    /// The question names another incarnation: nothing is known.
    WrongIncarnation,
    /// Refused before starting (draining, too late); the key is sealed here.
    RefusedUnstarted,
};

std::string_view nameOf(ActionState state);

/// Agent to entry: the answer to StartAction and QueryAction.
struct ActionReport {
    AttemptId attempt;
    IdempotencyKey key;
    Incarnation incarnation;
    ActionState state = ActionState::Absent;
    ApplicationAnswer answer;
};

} // namespace peridotgrade
