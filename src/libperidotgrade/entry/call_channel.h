// Carries the end of an application call from the shard to the coroutine that serves the caller.
#pragma once

#include "async_signal.h"

#include "peridotgrade/core/base/invariant.h"
#include "peridotgrade/entry/answer_listener.h"

#include <mutex>
#include <optional>
#include <variant>

namespace peridotgrade {

/// The caller is gone; nobody waits for the answer.
struct CallerLeft { };

using CallEnd = std::variant<CallerLeft, ApplicationAnswer, Refusal>;

/// Holds one end; a second one breaks an invariant.
class CallChannel final : public CallAnswerListener {
public:
    explicit CallChannel(boost::asio::any_io_executor strand)
        : signal(std::make_shared<AsyncSignal>(std::move(strand)))
    {
    }

    void onAnswer(ApplicationAnswer answer) override { this->end(std::move(answer)); }
    void onRefused(const Refusal& refusal) override { this->end(refusal); }

    /// Thread safe; has no effect after an end.
    void markGone()
    {
        std::lock_guard lock(this->mutex);
        if (!this->ended)
            this->ended = CallerLeft {};
        this->signal->set();
    }

    boost::asio::awaitable<CallEnd> wait()
    {
        for (;;) {
            {
                std::lock_guard lock(this->mutex);
                if (this->ended)
                    co_return std::move(*this->ended);
            }
            co_await this->signal->wait();
        }
    }

private:
    void end(CallEnd value)
    {
        std::lock_guard lock(this->mutex);
        bool hasLeft = this->ended && std::holds_alternative<CallerLeft>(*this->ended);
        if (hasLeft)
            return;
        checkInvariant(!this->ended, Invariant::NoRequestAnsweredTwice, "a second end of a call");
        this->ended = std::move(value);
        this->signal->set();
    }

    std::shared_ptr<AsyncSignal> signal;
    std::mutex mutex;
    std::optional<CallEnd> ended;
};

} // namespace peridotgrade
