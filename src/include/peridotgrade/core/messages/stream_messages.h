// Messages of prefill, KV transfer and token streams.
#pragma once

#include "peridotgrade/core/base/ids.h"
#include "peridotgrade/core/base/time.h"
#include "peridotgrade/core/messages/reservation_messages.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace peridotgrade {

/// Entry to agent: compute the prompt's KV cache and keep it for export. Sent only while a reservation is
/// held.
struct StartPrefill {
    SessionEpoch epoch;
    AttemptId attempt;
    ModelId model;
    Fingerprint fingerprint;
    Priority priority = Priority::Normal;
    /// The caller's prompt, followed by the text already sent to the caller when an answer is resumed.
    std::string prompt;
    std::uint32_t promptTokens = 0;
    /// Time left until the result is useless; the agent does not start a prefill that would end later.
    std::chrono::milliseconds timeLeft { 0 };
    bool isSuspect = false;
    ConfigVersion version;
};

/// Agent to entry: the KV cache is ready at the prefill engine, which keeps it for `keptFor`.
struct PrefillFinished {
    AttemptId attempt;
    KvHandle handle;
    /// Address (`ip:port`) of the engine that exports it.
    std::string exporter;
    std::uint64_t kvBytes = 0;
    std::uint32_t cachedTokens = 0;
    std::chrono::milliseconds keptFor { 0 };
    LiveLoad load;
};

/// Entry to agent: import the KV cache into the attempt's reservation and decode. Without a handle (mixed
/// engines) the engine computes the prompt itself.
struct StartDecode {
    SessionEpoch epoch;
    AttemptId attempt;
    ModelId model;
    /// As in StartPrefill: includes the text that was already sent.
    std::string prompt;
    /// Index of the first token that this attempt produces; earlier ones have reached the caller.
    std::uint32_t firstIndex = 0;
    std::uint32_t maxOutputTokens = 0;
    Priority priority = Priority::Normal;
    KvHandle handle;
    std::string exporter;
    std::chrono::milliseconds timeLeft { 0 };
    ConfigVersion version;
};

/// Why a stream ended normally.
enum class FinishReason : std::uint8_t { Stop, Length };

/// Agent to entry: consecutive tokens of one attempt, in order of index.
struct TokenFrame {
    AttemptId attempt;
    /// Index of `pieces.front()` in the whole answer.
    std::uint32_t firstIndex = 0;
    std::vector<std::string> pieces;
    /// True in the last frame of a finished stream.
    bool isLast = false;
    FinishReason finishReason = FinishReason::Stop;
};

/// Why an attempt failed.
enum class AttemptFailure : std::uint8_t {
    EngineDied,
    EngineError,
    TransferStalled,
    /// The engine that computed the KV cache no longer keeps it.
    KvGone,
    /// The attempt has no reservation at the agent.
    NoPlaceHeld,
    TooLate,
    Draining,
    SessionLost,
    ConnectionLost,
    SuspectPresent,
};

std::string_view nameOf(AttemptFailure failure);

/// Agent to entry: the attempt ended without a complete answer, and the agent holds nothing for it any more.
struct AttemptFailed {
    AttemptId attempt;
    AttemptFailure reason = AttemptFailure::EngineError;
    LiveLoad load;
};

/// Agent to entry: the engine crashed while it was running these requests; each becomes a suspect. Repeated
/// for a short time to sessions that are opened after the crash.
struct EngineCrashed {
    std::vector<Fingerprint> running;
    /// The incarnation of the engine that crashed: identifies the crash, however often it is reported.
    Incarnation engine;
};

/// Agent to entry: prefixes that were added to or evicted from the engine's prefix cache. A hint: it arrives
/// late and may have gaps.
struct CacheChanged {
    /// Sequence number of the engine's cache events; a jump means that some were lost.
    std::uint64_t sequence = 0;
    std::vector<std::uint64_t> addedPrefixes;
    std::vector<std::uint64_t> evictedPrefixes;
};

} // namespace peridotgrade
