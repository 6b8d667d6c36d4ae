// One stream's prefill or decode, shared by its HTTP handler and the engine's loops.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace peridotgrade::standins {

enum class StreamTaskState : std::uint8_t { Waiting, Running, Done, Cancelled, Dropped };

/// A prefill or decode. Invariant: `changed` never expires; it is cancelled to wake the handler.
struct StreamTask {
    explicit StreamTask(const boost::asio::any_io_executor& executor)
        : changed(executor, boost::asio::steady_timer::time_point::max())
    {
    }

    /// Wakes the handler that waits in `waitForChange`.
    void notify() { this->changed.cancel(); }

    /// Completes at the next `notify`.
    boost::asio::awaitable<void> waitForChange()
    {
        boost::system::error_code woken;
        co_await this->changed.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, woken));
    }

    bool hasEnded() const
    {
        return this->state != StreamTaskState::Waiting && this->state != StreamTaskState::Running;
    }

    std::string stream;
    std::string model;
    std::string prompt;
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0;
    std::uint32_t priority = 1;
    StreamTaskState state = StreamTaskState::Waiting;
    bool isDecode = false;
    /// Aborts the KV cache import in progress; empty if there is none.
    std::function<void()> abortImport;

    // Result of a prefill.
    std::string kvHandle;
    std::uint64_t kvBytes = 0;

    // Decoding.
    std::uint32_t nextIndex = 0;
    /// Index at which the answer reaches the caller's token limit.
    std::uint32_t endIndex = 0;
    std::string originalPrompt;
    std::uint32_t answerLength = 0;
    /// Server-sent events that have not been written yet.
    std::string pending;

    boost::asio::steady_timer changed;
};

using StreamTaskPointer = std::shared_ptr<StreamTask>;

} // namespace peridotgrade::standins
