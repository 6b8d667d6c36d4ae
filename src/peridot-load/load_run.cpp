// Open-loop, closed-loop and comparison runs.
#include "load_run.h"

#include "entry_cost.h"
#include "load_caller.h"
#include "load_report.h"

#include "peridotgrade/net/timer_driver.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <iostream>

namespace peridotgrade::load {

namespace asio = boost::asio;

namespace {

    /// One load run. It uses a single thread and therefore needs no locks.
    class LoadRun {
    public:
        LoadRun(const LoadTarget& target, const LoadShape& shape, const LatencyObjectives& objectives)
            : target(target)
            , source(shape)
            , report(objectives)
        {
        }

        int openLoop(OpenLoop loop)
        {
            asio::co_spawn(this->io, this->runArrivals(loop), asio::detached);
            return this->finish();
        }

        int closedLoop(ClosedLoop loop)
        {
            asio::co_spawn(this->io, this->runStreams(loop), asio::detached);
            return this->finish();
        }

        int comparison(Comparison options)
        {
            asio::co_spawn(this->io, this->runPairs(options), asio::detached);
            this->io.run();
            return this->notAnswered == 0 ? 0 : 1;
        }

    private:
        int finish()
        {
            this->io.run();
            return this->report.wrongAnswers() == 0 ? 0 : 1;
        }

        asio::awaitable<void> sleepUntil(TimePoint due)
        {
            asio::steady_timer timer(this->io);
            timer.expires_at(std::chrono::steady_clock::time_point { due.time_since_epoch() });
            boost::system::error_code ignored;
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }

        asio::awaitable<void> sendOne()
        {
            LoadRequest request = this->source.next();
            ++this->openStreams;
            LoadResult result = co_await callEntry(this->io.get_executor(), this->target, std::move(request));
            --this->openStreams;
            this->report.add(result);
        }

        asio::awaitable<void> beginMeasurement()
        {
            this->before = co_await readEntryTotals(this->io.get_executor(), this->target.admin);
            this->beganAt = TimerDriver::now();
        }

        asio::awaitable<void> endMeasurement()
        {
            std::chrono::duration<double> elapsed = TimerDriver::now() - this->beganAt;
            auto after = co_await readEntryTotals(this->io.get_executor(), this->target.admin);
            if (this->before && after)
                std::cout << costText(*this->before, *after, elapsed) << "\n";
        }

        asio::awaitable<void> runArrivals(OpenLoop loop)
        {
            TimePoint first = TimerDriver::now();
            TimePoint last = first + loop.warmUp + loop.length;
            asio::co_spawn(this->io, this->measure(first + loop.warmUp, last), asio::detached);
            for (TimePoint next = first; next < last; next += this->source.nextGap(loop.requestsPerSecond)) {
                co_await this->sleepUntil(next);
                asio::co_spawn(this->io, this->sendOne(), asio::detached);
            }
            co_await this->waitForOpenStreams();
            std::cout << this->report.text(TimerDriver::now() - first);
        }

        asio::awaitable<void> measure(TimePoint from, TimePoint until)
        {
            co_await this->sleepUntil(from);
            co_await this->beginMeasurement();
            co_await this->sleepUntil(until);
            std::cout << "open_streams=" << this->openStreams << "\n";
            co_await this->endMeasurement();
        }

        asio::awaitable<void> waitForOpenStreams()
        {
            constexpr std::chrono::milliseconds PollInterval { 20 };
            while (this->openStreams > 0)
                co_await this->sleepUntil(TimerDriver::now() + PollInterval);
        }

        asio::awaitable<void> runStreams(ClosedLoop loop)
        {
            TimePoint startAt = TimerDriver::now();
            // The start times of the streams are spread over the first half of the warm-up, which is not
            // measured.
            constexpr std::chrono::seconds WarmUp { 3 };
            for (std::uint32_t number = 0; number < loop.streams; ++number)
                asio::co_spawn(this->io,
                    this->sendOneAfterAnother(
                        startAt + WarmUp * number / (2 * loop.streams), startAt + WarmUp + loop.length),
                    asio::detached);
            co_await this->measure(startAt + WarmUp, startAt + WarmUp + loop.length);
            co_await this->waitForOpenStreams();
            std::cout << this->report.text(TimerDriver::now() - startAt);
        }

        asio::awaitable<void> sendOneAfterAnother(TimePoint from, TimePoint until)
        {
            co_await this->sleepUntil(from);
            while (TimerDriver::now() < until)
                co_await this->sendOne();
        }

        asio::awaitable<void> runPairs(Comparison options)
        {
            Samples throughEntry;
            Samples direct;
            for (std::uint32_t number = 0; number < options.pairs; ++number) {
                LoadRequest request = this->source.next();
                LoadRequest same = request;
                LoadResult entry
                    = co_await callEntry(this->io.get_executor(), this->target, std::move(request));
                LoadResult engine = co_await callEngine(
                    this->io.get_executor(), options.engine, this->target.model, std::move(same), number);
                this->reportFailure("entry", number, entry);
                this->reportFailure("engine", number, engine);
                if (entry.firstToken)
                    throughEntry.add(*entry.firstToken);
                if (engine.firstToken)
                    direct.add(*engine.firstToken);
            }
            std::cout << "pairs=" << options.pairs << " not_answered=" << this->notAnswered << "\n"
                      << "first_token_through_entry " << throughEntry.text() << "\n"
                      << "first_token_direct " << direct.text() << "\n"
                      << "added p50_ms=" << added(throughEntry, direct, 0.5)
                      << " p99_ms=" << added(throughEntry, direct, 0.99) << "\n";
        }

        void reportFailure(std::string_view side, std::uint32_t pair, const LoadResult& result)
        {
            if (result.outcome == LoadOutcome::Answered)
                return;
            ++this->notAnswered;
            std::cout << "not_answered pair=" << pair << " by=" << side << " status=" << result.status
                      << " code=" << result.code << " tokens=" << result.tokens << "\n";
        }

        static double added(const Samples& with, const Samples& without, double probability)
        {
            Duration difference = with.quantile(probability) - without.quantile(probability);
            return std::chrono::duration<double, std::milli> { difference }.count();
        }

        asio::io_context io { 1 };
        const LoadTarget target;
        LoadRequestSource source;
        LoadReport report;
        std::optional<EntryTotals> before;
        TimePoint beganAt;
        std::uint32_t openStreams = 0;
        std::uint32_t notAnswered = 0;
    };

} // namespace

int runOpenLoop(const LoadTarget& target, const LoadShape& shape, const LatencyObjectives& objectives,
    const OpenLoop& loop)
{
    return LoadRun(target, shape, objectives).openLoop(loop);
}

int runClosedLoop(const LoadTarget& target, const LoadShape& shape, const LatencyObjectives& objectives,
    const ClosedLoop& loop)
{
    return LoadRun(target, shape, objectives).closedLoop(loop);
}

int runComparison(const LoadTarget& target, const LoadShape& shape, const Comparison& comparison)
{
    return LoadRun(target, shape, LatencyObjectives {}).comparison(comparison);
}

} // namespace peridotgrade::load
