// A small model of an engine in virtual time, for the goodput benchmark.
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

/// Speed and size of an engine.
struct EngineModelSettings {
    EngineRole role = EngineRole::Decode;
    ModelId model;
    std::uint32_t slots = 20;
    std::uint64_t kvTokensTotal = 400'000;
    std::uint32_t kvTokensPerPiece = 64;
    double prefillTokensPerSecond = 12'000;
    /// Time of one decode step: fixed part plus a part for each stream in the batch.
    Duration stepBase = std::chrono::milliseconds { 20 };
    Duration stepPerStream = std::chrono::milliseconds { 1 };
    double linkBytesPerSecond = 6e9;
    std::uint64_t kvBytesPerToken = 160'000;
    std::chrono::milliseconds keptFor { 800 };
    std::size_t prefixCacheBlocks = 4'000;
};

class EngineModel;

/// How importers find exporters by their name.
using EngineDirectory = std::unordered_map<std::string, EngineModel*>;

/// What the engine did with its prefill time.
struct EngineModelCounters {
    std::uint64_t prefillTokens = 0;
    std::uint64_t prefillTokensWasted = 0;
    std::uint64_t outputTokens = 0;
    /// Places in use, added up over time, in place-seconds.
    double slotSeconds = 0;
};

/// Computes prefills one after another in the order given, keeps their results for a short time, and decodes
/// all its streams in steps. Prompts are `<prefix id>:<prefix tokens>:<own tokens>:<output tokens>:<unique>`:
/// the model needs lengths, not texts. Events go to the host's `onEngineEvent` by way of the timer service.
class EngineModel {
public:
    using EventHandler = std::function<void(const EngineEvent&)>;

    EngineModel(
        EngineModelSettings settings, std::string name, TimerService& timers, EngineDirectory& directory);

    void setHandler(EventHandler handler) { this->handler = std::move(handler); }
    /// Announces the engine.
    void start();
    void onCommand(const EngineCommand& command);
    /// Everything it held is gone; it answers nothing until `start`.
    void crash();

    /// Takes the result out of the exporter; false if it is gone.
    bool takeResult(const KvHandle& handle);

    const EngineModelCounters& counters() const { return this->totals; }
    /// What a load report would say now.
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
    /// The prefill that is being computed; it cannot be interrupted, only its result dropped.
    std::optional<EngineStreamId> prefilling;
    bool isPrefillCancelled = false;
    std::unordered_map<KvHandle, RetainedResult> retainedResults;
    std::unordered_set<EngineStreamId> importing;
    std::unordered_map<EngineStreamId, Decode> decoding;
    bool isStepping = false;
    TimePoint linkFreeAt;
    /// Least recently used prefixes at the front; sizes in blocks of 64 tokens.
    std::list<std::string> prefixOrder;
    std::unordered_map<std::string, std::list<std::string>::iterator> prefixes;
};

} // namespace peridotgrade::bench
