// The engine's running batch: each step gives each stream one token.
#pragma once

#include "engine_settings.h"
#include "work.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <vector>

namespace peridotgrade::standins {

/// Steps over all streams of the batch; streams come and go between steps. A step takes longer the more
/// streams there are. Not thread safe.
class DecodeBatch {
public:
    using OnFinished = std::function<void(const WorkPointer&)>;

    DecodeBatch(
        const boost::asio::any_io_executor& executor, const EngineSettings& settings, OnFinished onFinished);

    void add(WorkPointer work);
    void drop(const WorkPointer& work);
    void clear();

    /// Steps for ever.
    boost::asio::awaitable<void> run();

private:
    void step();
    /// True if that was the stream's last token.
    bool advance(Work& work);

    boost::asio::any_io_executor executor;
    /// Cancelled when there is work again.
    boost::asio::steady_timer wake;
    const EngineSettings& settings;
    OnFinished onFinished;
    std::vector<WorkPointer> running;
};

/// The marker in a prompt that ends the engine's process while it decodes.
constexpr const char* CrashInDecodeMarker = "!!crash-decode!!";
/// The marker that ends it while it computes the prompt.
constexpr const char* CrashInPrefillMarker = "!!crash!!";

/// Ends the process as a crash does: at once, without any farewell.
[[noreturn]] void crash();

} // namespace peridotgrade::standins
