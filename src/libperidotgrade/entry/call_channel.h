// Carries the result of an application call from the shard to the coroutine that serves the caller.
#pragma once

#include "async_signal.h"

#include "peridotgrade/core/base/invariant.h"
#include "peridotgrade/entry/answer_listener.h"

#include <mutex>
#include <optional>
#include <variant>

namespace peridotgrade {

/// The caller disconnected; the answer is dropped.
struct CallerDisconnected { };

using CallEnd = std::variant<CallerDisconnected, ApplicationAnswer, Refusal>;

/// Holds one result; a second one violates an invariant.
class CallChannel final : public CallAnswerListener {
public:
    explicit CallChannel(boost::asio::any_io_executor strand)
        : signal(std::make_shared<AsyncSignal>(std::move(strand)))
    {
    }

    void onAnswer(ApplicationAnswer answer) override { this->end(std::move(answer)); }
    void onRefused(const Refusal& refusal) override { this->end(refusal); }

    /// Thread safe. Has no effect once there is a result.
    void markDisconnected()
    {
        std::lock_guard lock(this->mutex);
        if (!this->result)
            this->result = CallerDisconnected {};
        this->signal->set();
    }

    boost::asio::awaitable<CallEnd> wait()
    {
        for (;;) {
            {
                std::lock_guard lock(this->mutex);
                if (this->result)
                    co_return std::move(*this->result);
            }
            co_await this->signal->wait();
        }
    }

private:
    void end(CallEnd value)
    {
        std::lock_guard lock(this->mutex);
        bool isDisconnected = this->result && std::holds_alternative<CallerDisconnected>(*this->result);
        if (isDisconnected)
            return;
        checkInvariant(
            !this->result, Invariant::NoRequestAnsweredTwice, "the end of a call was reported twice");
        this->result = std::move(value);
        this->signal->set();
    }

    std::shared_ptr<AsyncSignal> signal;
    std::mutex mutex;
    std::optional<CallEnd> result;
};

} // namespace peridotgrade
