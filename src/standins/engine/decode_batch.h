// The engine's continuous batch: each decode step produces one token for each stream.
#pragma once

#include "engine_settings.h"
#include "stream_task.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <vector>

namespace peridotgrade::standins {

/// Runs decode steps over all streams of the batch; streams join and leave between steps. The duration of a
/// step grows with the number of streams. Not thread safe.
class DecodeBatch {
public:
    using OnFinished = std::function<void(const StreamTaskPointer&)>;

    DecodeBatch(
        const boost::asio::any_io_executor& executor, const EngineSettings& settings, OnFinished onFinished);

    void add(StreamTaskPointer task);
    void drop(const StreamTaskPointer& task);
    void clear();

    /// Runs decode steps and never completes.
    boost::asio::awaitable<void> run();

private:
    void step();
    /// Produces the next token; returns true if it was the stream's last one.
    bool advance(StreamTask& task);

    boost::asio::any_io_executor executor;
    /// Cancelled to wake `run` when a stream is added.
    boost::asio::steady_timer wake;
    const EngineSettings& settings;
    OnFinished onFinished;
    std::vector<StreamTaskPointer> running;
};

/// A prompt with this marker crashes the engine's process during decode.
constexpr const char* CrashInDecodeMarker = "!!crash-decode!!";
/// A prompt with this marker crashes the engine's process at the end of its prefill.
constexpr const char* CrashInPrefillMarker = "!!crash!!";

/// Ends the process immediately, as a crash does: connections are not shut down and no cleanup runs.
[[noreturn]] void crash();

} // namespace peridotgrade::standins
