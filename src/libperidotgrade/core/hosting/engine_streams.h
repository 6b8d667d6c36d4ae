// The agent's table of everything that the engine holds memory for.
#pragma once

#include "attempt_key.h"
#include "capacity.h"
#include "peridotgrade/core/hosting/engine_command.h"

#include <map>
#include <optional>
#include <vector>

namespace peridotgrade {

enum class StreamKind : std::uint8_t { Prefill, Decode };

/// One stream or prefill at the engine, from its start until the engine confirms its end.
struct EngineStream {
    EngineStreamId id;
    StreamKind kind = StreamKind::Decode;
    /// Empty once the attempt has ended and the stream is being cancelled.
    std::optional<AttemptKey> owner;
    Fingerprint fingerprint;
    bool isSuspect = false;
    /// True while the engine computes; false for a retained prefill result.
    bool isRunning = true;
    /// The engine has reported on the stream, so its start command is no longer in flight.
    bool hasAnswered = false;
    /// Reserved until the engine confirms the end, also while the stream has no owner.
    EngineResources resources;
};

/// The table of streams. Ids contain the agent's incarnation, so a restarted agent recognises none of its
/// predecessor's streams and treats them as orphans when the engine lists them.
class EngineStreams {
public:
    explicit EngineStreams(Incarnation incarnation);

    /// Adds a stream under a new id.
    EngineStreamId add(EngineStream stream);
    /// Adds a stream that the engine listed and that has no owner.
    void addOrphan(const EngineStreamId& id);
    EngineStream* find(const EngineStreamId& id);
    /// Removes a stream that the engine no longer holds and returns its record.
    std::optional<EngineStream> remove(const EngineStreamId& id);
    /// Removes all streams and returns their records.
    std::vector<EngineStream> removeAll();

    /// Streams without an owner whose end the engine has not confirmed.
    std::vector<EngineStreamId> unowned() const;
    bool isEmpty() const { return this->streams.empty(); }
    std::size_t running(StreamKind kind) const;
    /// True if a suspect request of another attempt is computing.
    bool hasOtherSuspect(const AttemptKey& own) const;

private:
    Incarnation incarnation;
    std::uint64_t lastNumber = 0;
    std::map<EngineStreamId, EngineStream> streams;
};

} // namespace peridotgrade
