// What the engine holds memory for, as its agent knows it.
#pragma once

#include "attempt_key.h"
#include "capacity.h"
#include "peridotgrade/core/hosting/engine_command.h"

#include <map>
#include <optional>
#include <vector>

namespace peridotgrade {

enum class StreamKind : std::uint8_t { Prefill, Decode };

/// One stream or prefill at the engine, from its start until the engine has confirmed that it is gone.
struct EngineStream {
    EngineStreamId id;
    StreamKind kind = StreamKind::Decode;
    /// Nothing once the attempt ended: then it is being cancelled.
    std::optional<AttemptKey> owner;
    Fingerprint fingerprint;
    bool isSuspect = false;
    /// True while the engine computes; a kept prefill result does not.
    bool isRunning = true;
    /// The engine has said something of it, so its start is not still on the way.
    bool hasAnswered = false;
    /// Reserved until the engine confirms the end, whether or not the owner is still there.
    EngineResources resources;
};

/// The table of streams. Ids carry the agent's incarnation, so that a restarted agent knows none of its
/// predecessor's and finds them as orphans in the engine's listing.
class EngineStreams {
public:
    explicit EngineStreams(Incarnation incarnation);

    /// Adds a stream under a new id.
    EngineStreamId add(EngineStream stream);
    /// Adds a stream that was found at the engine and belongs to nobody.
    void addOrphan(const EngineStreamId& id);
    EngineStream* find(const EngineStreamId& id);
    /// Forgets a stream that the engine holds no more; gives what was known of it.
    std::optional<EngineStream> remove(const EngineStreamId& id);
    /// Forgets all streams; gives what was known of them.
    std::vector<EngineStream> removeAll();

    /// Streams without an owner, whose end the engine has not confirmed.
    std::vector<EngineStreamId> unowned() const;
    bool isEmpty() const { return this->streams.empty(); }
    std::size_t running(StreamKind kind) const;
    /// True if a suspect of another attempt is computing.
    bool hasOtherSuspect(const AttemptKey& own) const;

private:
    Incarnation incarnation;
    std::uint64_t lastNumber = 0;
    std::map<EngineStreamId, EngineStream> streams;
};

} // namespace peridotgrade
