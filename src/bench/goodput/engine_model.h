// Simulation of an engine in virtual time, for the goodput benchmark.
#pragma once

#include "peridotgrade/core/base/timer_service.h"
#include "peridotgrade/core/hosting/engine_event.h"

#include <chrono>
#include <deque>
#include <functional>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace peridotgrade::bench {

/// Speed and capacity of an engine.
struct EngineModelSettings {
    EngineRole role = EngineRole::Decode;
    ModelId model;
    std::uint32_t slots = 20;
    std::uint64_t kvTokensTotal = 400'000;
    std::uint32_t kvTokensPerPiece = 64;
    double prefillTokensPerSecond = 12'000;
    /// Duration of one decode step: a fixed part plus a part for each stream in the batch.
    Duration stepBase = std::chrono::milliseconds { 20 };
    Duration stepPerStream = std::chrono::milliseconds { 1 };
    double linkBytesPerSecond = 6e9;
    std::uint64_t kvBytesPerToken = 160'000;
    std::chrono::milliseconds keptFor { 800 };
    std::size_t prefixCacheBlocks = 4'000;
};

class EngineModel;

/// Engines by name, through which a decode engine finds the exporter of a KV cache.
using EngineDirectory = std::unordered_map<std::string, EngineModel*>;

/// Work done by the engine since the start of the run.
struct EngineModelCounters {
    std::uint64_t prefillTokens = 0;
    std::uint64_t prefillTokensWasted = 0;
    std::uint64_t outputTokens = 0;
    /// Integral of the batch slots in use over time, in slot-seconds.
    double slotSeconds = 0;
};

/// Computes prefills one at a time in order of arrival, retains their results for `keptFor`, and decodes all
/// streams of the batch in common steps. Prompts are
/// `<prefix id>:<prefix tokens>:<own tokens>:<output tokens>:<unique>`, since the model needs lengths, not
/// texts. Events reach the host's `onEngineEvent` through the timer service.
class EngineModel {
public:
    using EventHandler = std::function<void(const EngineEvent&)>;

    EngineModel(
        EngineModelSettings settings, std::string name, TimerService& timers, EngineDirectory& directory);

    void setHandler(EventHandler handler) { this->handler = std::move(handler); }
    /// Starts a new incarnation and emits `EngineUp`.
    void start();
    void onCommand(const EngineCommand& command);
    /// Drops all streams, results and cached prefixes; the engine answers nothing until `start`.
    void crash();

    /// Removes the retained result from the exporter; false if it has been evicted.
    bool takeResult(const KvHandle& handle);

    const EngineModelCounters& counters() const { return this->totals; }
    /// The load that a report sent now would carry.
    LiveLoad load() const;

private:
    struct Prefill {
        EngineStreamId stream;
        std::string prompt;
    };
    struct RetainedResult {
        EngineStreamId stream;
        std::uint32_t tokens = 0;
    };
    struct Decode {
        std::uint32_t next = 0;
        std::uint32_t end = 0;
    };

    void emit(EngineEvent event);
    void beginPrefill(const EnginePrefill& command);
    void startNextPrefill();
    void finishPrefill(const Prefill& prefill, std::uint32_t cachedTokens);
    void beginDecode(const EngineDecode& command);
    void startStream(const EngineStreamId& stream, Decode decode);
    void cancel(const EngineStreamId& stream);
    void scheduleStep();
    void step();
    std::uint32_t lookUpPrefix(const std::string& prompt);
    void evict(const KvHandle& handle);

    EngineModelSettings settings;
    std::string name;
    TimerService& timers;
    EngineDirectory& directory;
    EventHandler handler;
    EngineModelCounters totals;
    std::uint64_t incarnation = 0;
    std::uint64_t lastHandle = 0;
    std::deque<Prefill> waiting;
    /// The prefill in progress. It cannot be interrupted; a cancellation only drops its result.
    std::optional<EngineStreamId> prefilling;
    bool isPrefillCancelled = false;
    std::unordered_map<KvHandle, RetainedResult> retainedResults;
    std::unordered_set<EngineStreamId> importing;
    std::unordered_map<EngineStreamId, Decode> decoding;
    bool isStepping = false;
    TimePoint linkFreeAt;
    /// Least recently used prefix at the front. The cache limit counts blocks of 64 tokens.
    std::list<std::string> prefixOrder;
    std::unordered_map<std::string, std::list<std::string>::iterator> prefixes;
};

} // namespace peridotgrade::bench
