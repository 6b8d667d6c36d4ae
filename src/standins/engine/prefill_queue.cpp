// Scheduling and duration of prefills.
#include "prefill_queue.h"

#include "../common/pause.h"

#include <algorithm>

namespace peridotgrade::standins {

namespace {
    constexpr std::uint64_t NanosPerSecond = 1'000'000'000;
} // namespace

PrefillQueue::PrefillQueue(const boost::asio::any_io_executor& executor, const EngineSettings& settings,
    PrefixCache& cache, OnComputed onComputed)
    : executor(executor)
    , wake(executor, boost::asio::steady_timer::time_point::max())
    , settings(settings)
    , cache(cache)
    , onComputed(std::move(onComputed))
{
}

void PrefillQueue::add(StreamTaskPointer task)
{
    this->waiting.push_back(std::move(task));
    this->wake.cancel();
}

void PrefillQueue::drop(const StreamTaskPointer& task)
{
    auto found = std::find(this->waiting.begin(), this->waiting.end(), task);
    if (found != this->waiting.end())
        this->waiting.erase(found);
}

void PrefillQueue::clear() { this->waiting.clear(); }

std::chrono::nanoseconds PrefillQueue::backlog() const
{
    std::chrono::nanoseconds sum = std::max(this->busyUntil - StandinClock::now(), StandinClock::duration {});
    for (const StreamTaskPointer& task : this->waiting)
        sum += this->cost(*task);
    return sum;
}

std::chrono::nanoseconds PrefillQueue::cost(const StreamTask& task) const
{
    std::uint64_t cached = this->cache.cachedTokens(task.prompt);
    std::uint64_t computed = task.promptTokens - std::min(task.promptTokens, cached);
    std::uint64_t rate = std::max<std::uint64_t>(1, this->settings.prefillTokensPerSecond);
    return std::chrono::microseconds { this->settings.prefillBaseUs }
    + std::chrono::nanoseconds { computed * NanosPerSecond / rate };
}

StreamTaskPointer PrefillQueue::takeNext()
{
    auto isBefore
        = [](const StreamTaskPointer& a, const StreamTaskPointer& b) { return a->priority < b->priority; };
    auto next = std::min_element(this->waiting.begin(), this->waiting.end(), isBefore);
    if (next == this->waiting.end())
        return nullptr;
    StreamTaskPointer task = *next;
    this->waiting.erase(next);
    return task;
}

boost::asio::awaitable<void> PrefillQueue::run()
{
    while (true) {
        StreamTaskPointer task = this->takeNext();
        if (!task) {
            boost::system::error_code woken;
            co_await this->wake.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, woken));
            continue;
        }
        task->state = StreamTaskState::Running;
        task->cachedTokens = std::min(this->cache.cachedTokens(task->prompt), task->promptTokens);
        auto needed = this->cost(*task);
        this->busyUntil = StandinClock::now() + needed;
        co_await pause(this->executor, needed);
        if (task->state == StreamTaskState::Running)
            this->onComputed(task);
    }
}

} // namespace peridotgrade::standins
