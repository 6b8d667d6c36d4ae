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

void PrefillQueue::add(WorkPointer work)
{
    this->waiting.push_back(std::move(work));
    this->wake.cancel();
}

void PrefillQueue::drop(const WorkPointer& work)
{
    auto found = std::find(this->waiting.begin(), this->waiting.end(), work);
    if (found != this->waiting.end())
        this->waiting.erase(found);
}

void PrefillQueue::clear() { this->waiting.clear(); }

std::chrono::nanoseconds PrefillQueue::backlog() const
{
    std::chrono::nanoseconds sum = std::max(this->busyUntil - StandinClock::now(), StandinClock::duration {});
    for (const WorkPointer& work : this->waiting)
        sum += this->cost(*work);
    return sum;
}

std::chrono::nanoseconds PrefillQueue::cost(const Work& work) const
{
    std::uint64_t cached = this->cache.cachedTokens(work.prompt);
    std::uint64_t computed = work.promptTokens - std::min(work.promptTokens, cached);
    std::uint64_t rate = std::max<std::uint64_t>(1, this->settings.prefillTokensPerSecond);
    return std::chrono::microseconds { this->settings.prefillBaseUs }
    + std::chrono::nanoseconds { computed * NanosPerSecond / rate };
}

WorkPointer PrefillQueue::takeNext()
{
    auto isBefore = [](const WorkPointer& a, const WorkPointer& b) { return a->priority < b->priority; };
    auto next = std::min_element(this->waiting.begin(), this->waiting.end(), isBefore);
    if (next == this->waiting.end())
        return nullptr;
    WorkPointer work = *next;
    this->waiting.erase(next);
    return work;
}

boost::asio::awaitable<void> PrefillQueue::run()
{
    while (true) {
        WorkPointer work = this->takeNext();
        if (!work) {
            boost::system::error_code woken;
            co_await this->wake.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, woken));
            continue;
        }
        work->state = WorkState::Running;
        work->cachedTokens = std::min(this->cache.cachedTokens(work->prompt), work->promptTokens);
        auto needed = this->cost(*work);
        this->busyUntil = StandinClock::now() + needed;
        co_await pause(this->executor, needed);
        if (work->state == WorkState::Running)
            this->onComputed(work);
    }
}

} // namespace peridotgrade::standins
