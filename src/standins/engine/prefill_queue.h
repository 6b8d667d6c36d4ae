// The engine's prefill computations: one at a time, in order of priority.
#pragma once

#include "engine_settings.h"
#include "prefix_cache.h"
#include "work.h"

#include "../common/now.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>

namespace peridotgrade::standins {

/// Computes waiting prompts; a prompt's cached prefix costs nothing. Not thread safe.
class PrefillQueue {
public:
    using OnComputed = std::function<void(const WorkPointer&)>;

    PrefillQueue(const boost::asio::any_io_executor& executor, const EngineSettings& settings,
        PrefixCache& cache, OnComputed onComputed);

    void add(WorkPointer work);
    void drop(const WorkPointer& work);
    void clear();
    /// Time to finish all that waits or runs.
    std::chrono::nanoseconds backlog() const;

    /// Computes for ever.
    boost::asio::awaitable<void> run();

private:
    std::chrono::nanoseconds cost(const Work& work) const;
    WorkPointer takeNext();

    boost::asio::any_io_executor executor;
    /// Cancelled when there is work again.
    boost::asio::steady_timer wake;
    const EngineSettings& settings;
    PrefixCache& cache;
    OnComputed onComputed;
    std::deque<WorkPointer> waiting;
    StandinClock::time_point busyUntil;
};

} // namespace peridotgrade::standins
