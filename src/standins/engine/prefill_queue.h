// The engine's prefill queue: prefills run one at a time, in order of priority.
#pragma once

#include "engine_settings.h"
#include "prefix_cache.h"
#include "stream_task.h"

#include "../common/now.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>

namespace peridotgrade::standins {

/// Runs queued prefills; the cached prefix of a prompt takes no compute time. Not thread safe.
class PrefillQueue {
public:
    using OnComputed = std::function<void(const StreamTaskPointer&)>;

    PrefillQueue(const boost::asio::any_io_executor& executor, const EngineSettings& settings,
        PrefixCache& cache, OnComputed onComputed);

    void add(StreamTaskPointer task);
    void drop(const StreamTaskPointer& task);
    void clear();
    /// Time needed to complete all queued and running prefills.
    std::chrono::nanoseconds backlog() const;

    /// Runs prefills and never completes.
    boost::asio::awaitable<void> run();

private:
    std::chrono::nanoseconds cost(const StreamTask& task) const;
    StreamTaskPointer takeNext();

    boost::asio::any_io_executor executor;
    /// Cancelled to wake `run` when a prefill is added.
    boost::asio::steady_timer wake;
    const EngineSettings& settings;
    PrefixCache& cache;
    OnComputed onComputed;
    std::deque<StreamTaskPointer> waiting;
    StandinClock::time_point busyUntil;
};

} // namespace peridotgrade::standins
