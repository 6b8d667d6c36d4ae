// The fake engine: KV memory, prefill queue, running batch, exports and the streams that use them.
#pragma once

#include "cache_event_log.h"
#include "decode_batch.h"
#include "engine_settings.h"
#include "kv_exports.h"
#include "kv_memory.h"
#include "loaded_models.h"
#include "prefill_queue.h"
#include "prefix_cache.h"
#include "stream_task.h"

#include "../common/control_port.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/json/object.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <string>

namespace peridotgrade::standins {

/// Why the engine refused to start a stream.
enum class StartRefusal : std::uint8_t { None, UnknownModel, StreamInUse, Full };

/// State of the engine. A stream whose client has disconnected keeps running and holds its memory until it
/// ends or is cancelled. Not thread safe.
class Engine {
public:
    Engine(boost::asio::any_io_executor executor, EngineSettings settings, std::uint64_t seed,
        std::uint64_t incarnation);

    /// Starts the prefill, decode and load sampling loops.
    void start();
    void addSwitches(ControlPort& control);

    boost::json::object state() const;
    boost::json::object laggingLoad() const;
    boost::json::object streams() const;
    boost::json::object counts() const;

    /// Reserves memory and queues the prefill.
    StartRefusal startPrefill(const StreamTaskPointer& task);
    StartRefusal startDecode(const StreamTaskPointer& task);
    /// Adds a decode whose KV cache is available to the batch, unless it has ended.
    void joinBatch(const StreamTaskPointer& task);
    /// Queues a decode's prompt for prefill on this engine.
    void computePrompt(const StreamTaskPointer& task);
    /// Cancels the stream's task and releases its exports and its memory.
    void cancel(const std::string& stream);
    /// Ends a decode that could not start, and releases its memory.
    void fail(const StreamTaskPointer& task);

    KvExports::Export* beginExport(const std::string& handle);
    void endExport(const std::string& handle, bool isComplete);
    /// Schedules `bytes` on the outgoing link; returns the time at which they will have been sent.
    StandinClock::time_point scheduleOnLink(std::uint64_t bytes);

    /// Simulates a process restart: all streams, memory and exports are lost, and the incarnation changes.
    void restart();

    EngineSettings& settings() { return this->currentSettings; }
    LoadedModels& models() { return this->loadedModels; }
    CacheEventLog& cacheEvents() { return this->eventLog; }
    std::uint64_t incarnation() const { return this->currentIncarnation; }
    boost::asio::any_io_executor executor() const { return this->ioExecutor; }

private:
    struct LoadSample {
        StandinClock::time_point at;
        std::uint64_t placesFree = 0;
        std::chrono::nanoseconds backlog {};
    };

    StartRefusal admit(const StreamTaskPointer& task, ReservationKind kind, std::uint64_t tokens);
    void onComputed(const StreamTaskPointer& task);
    void onFinished(const StreamTaskPointer& task);
    void retainForExport(const StreamTaskPointer& task);
    boost::asio::awaitable<void> evictLater(std::string handle);
    void removeExport(const std::string& handle);
    boost::asio::awaitable<void> sampleLoad();
    std::uint64_t placesFree() const;
    void endTask(const StreamTaskPointer& task, StreamTaskState state);

    boost::asio::any_io_executor ioExecutor;
    EngineSettings currentSettings;
    std::mt19937_64 random;
    std::uint64_t currentIncarnation;
    std::uint64_t lastHandle = 0;
    KvMemory memory;
    PrefixCache cache;
    CacheEventLog eventLog;
    LoadedModels loadedModels;
    KvExports exports;
    PrefillQueue prefills;
    DecodeBatch batch;
    /// Tasks by stream. Invariant: has exactly the tasks that have not ended.
    std::map<std::string, StreamTaskPointer> tasks;
    std::deque<LoadSample> loadSamples;
    StandinClock::time_point linkFreeAt;

    std::uint64_t prefillsDone = 0;
    std::uint64_t tokensComputed = 0;
    std::uint64_t decodesDone = 0;
    std::uint64_t resultsEvicted = 0;
    std::uint64_t cancels = 0;
};

} // namespace peridotgrade::standins
