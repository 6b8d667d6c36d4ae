// Entries and engines under heavy load in virtual time, for the tests of the admission queue.
#pragma once

#include "peridotgrade/core/base/timer_service.h"
#include "peridotgrade/core/serving/admission_queue.h"
#include "peridotgrade/core/serving/retry_after.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <numbers>
#include <utility>
#include <vector>

namespace peridotgrade::overload {

using namespace std::chrono_literals;

// Parameters of the platform: engines of 33,279 tokens, prompts of 3,200 and answers of 740 tokens on
// average, 4.2 ms per token, a round trip of 9 ms between data centres, first events due after 1 s.
constexpr std::uint32_t EngineTokens = 33'279;
constexpr std::size_t Engines = 14;
constexpr std::size_t Entries = 4;
constexpr std::size_t DataCentres = 4;
constexpr std::chrono::microseconds TimePerToken { 4200 };
constexpr std::chrono::milliseconds RoundTrip { 9 };
constexpr std::chrono::milliseconds MaxFirstAttemptWait { 700 };
constexpr std::chrono::milliseconds MaxRetryWait { 3300 };
constexpr std::chrono::milliseconds CallerTimeLeft { 14000 };
// A request above this size is among the largest tenth.
constexpr std::uint32_t LargeTokens = 5600;
// Requests per second: each engine holds eight requests of 3,940 tokens for 3.1 s each.
constexpr double Capacity = Engines * 8 / 3.1;

struct Tally {
    int requests = 0;
    int onTime = 0;
    int late = 0;
    int rejectedTwice = 0;
    int rejections = 0;
    int reservations = 0;
    int large = 0;
    int largeServed = 0;
    Duration longestWait {};
};

/// A kind of request: its priority, its share of all requests and how long a first attempt may wait.
struct Kind {
    RequestPriority priority;
    double share = 1;
    std::chrono::milliseconds maxWait { MaxFirstAttemptWait };
};

struct Scale {
    std::size_t entries = Entries;
    std::size_t engines = Engines;
    std::vector<Kind> kinds { Kind {} };
    /// Without priorities, retries that are late go behind those that can be on time.
    bool doRetriesYield = true;
};

/// What the callers of one second pair got.
struct Callers {
    int requests = 0;
    /// Counted from the caller's first attempt.
    int onTime = 0;
    int served = 0;

    void add(const Callers& other)
    {
        this->requests += other.requests;
        this->onTime += other.onTime;
        this->served += other.served;
    }
};

/// Simulates entries that see only their own streams, and engines that see all of them.
class Simulation {
public:
    explicit Simulation(std::uint64_t seed, Scale scale = {})
        : scale(std::move(scale))
        , random(seed)
        , kindTallies(this->scale.kinds.size())
    {
        for (std::size_t index = 0; index < this->scale.entries; ++index)
            this->entries.push_back(std::make_unique<Entry>());
        for (std::size_t index = 0; index < this->scale.engines; ++index) {
            ServerRecord record;
            record.id = ServerId { "e" + std::to_string(index) };
            record.dataCentre = DataCentreId { std::to_string(index % DataCentres) };
            this->records.push_back(record);
        }
        for (const ServerRecord& record : this->records)
            this->candidates.push_back(&record);
    }

    /// Simulates Poisson arrivals at a rate that varies with time.
    Tally run(std::chrono::seconds length, const std::function<double(double)>& rateAt)
    {
        this->arriveNext(TimePoint { length }, rateAt);
        while (auto due = this->timers.nextDue())
            this->timers.advance(*due);
        for (const auto& [engine, used] : this->used)
            BOOST_TEST(used == 0U);
        return this->tally;
    }

    /// Of one kind of request, after `run`.
    const Tally& kindTally(std::size_t kind) const { return this->kindTallies[kind]; }
    /// By the time of their first attempts.
    const std::map<std::int64_t, Callers>& callersByPair() const { return this->callers; }

private:
    struct Request {
        std::size_t entry = 0;
        std::size_t kind = 0;
        std::uint32_t tokens = 0;
        std::uint32_t output = 0;
        /// Of the caller's first attempt.
        TimePoint begunAt;
        TimePoint arrivedAt;
        TimePoint due;
        bool isRetry = false;
    };
    struct Entry {
        EngineLoad load;
        ServerLimits limits;
        AdmissionQueue queue { load, limits };
        std::optional<TimePoint> nextDispatchAt;
    };

    /// Gives the request an answer of 750 tokens on average with a spread of 0.7, and a prompt of 2,500.
    void widen(Request& request)
    {
        constexpr double Spread = 0.7;
        constexpr double MedianOutput = 590;
        constexpr double MaxOutput = 1900;
        constexpr double MedianPrompt = 2400;
        constexpr double MaxPrompt = 9000;
        double normal = std::sqrt(-2 * std::log(1 - this->random.unit()))
            * std::cos(2 * std::numbers::pi * this->random.unit());
        double output = std::min(MedianOutput * std::exp(Spread * normal), MaxOutput);
        double prompt = MedianPrompt * std::exp(Spread * normal / 2 + Spread * (this->random.unit() - 0.5));
        request.output = static_cast<std::uint32_t>(output);
        request.tokens = request.output + static_cast<std::uint32_t>(std::min(prompt, MaxPrompt));
    }

    Callers& callersOf(const Request& request)
    {
        return this
            ->callers[std::chrono::floor<std::chrono::seconds>(request.begunAt).time_since_epoch() / 2s];
    }

    std::size_t pickKind()
    {
        std::size_t last = this->scale.kinds.size() - 1;
        double at = last > 0 ? this->random.unit() : 0;
        std::size_t kind = 0;
        while (kind < last && at >= this->scale.kinds[kind].share)
            at -= this->scale.kinds[kind++].share;
        return kind;
    }

    void arriveNext(TimePoint end, const std::function<double(double)>& rateAt)
    {
        double seconds = std::chrono::duration<double>(this->timers.now().time_since_epoch()).count();
        double gap = -std::log(1 - this->random.unit()) / rateAt(seconds);
        auto delay = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap));
        if (this->timers.now() + delay >= end)
            return;
        this->timers.subscribeAfter(delay, [this, end, &rateAt] {
            ++this->tally.requests;
            Request request;
            request.kind = this->pickKind();
            request.begunAt = this->timers.now();
            ++this->callersOf(request).requests;
            ++this->kindTallies[request.kind].requests;
            request.output = 200 + static_cast<std::uint32_t>(this->random.below(1080));
            request.tokens = 1600 + static_cast<std::uint32_t>(this->random.below(3200)) + request.output;
            if (this->scale.kinds.size() > 1)
                this->widen(request);
            this->kindTallies[request.kind].large += request.tokens > LargeTokens ? 1 : 0;
            this->submit(request);
            this->arriveNext(end, rateAt);
        });
    }

    void submit(Request request)
    {
        TimePoint now = this->timers.now();
        const Kind& kind = this->scale.kinds[request.kind];
        request.entry = this->random.below(this->scale.entries);
        request.arrivedAt = now;
        request.due = now + (request.isRetry ? MaxRetryWait : kind.maxWait);
        RequestId id { ++this->lastId };
        this->open[id] = request;
        // As the gateway does: with priorities retries go first, without they yield.
        bool goesFirst = request.isRetry && this->scale.kinds.size() > 1;
        bool isLate = request.isRetry && !goesFirst && this->scale.doRetriesYield;
        auto rejection = this->entries[request.entry]->queue.add(
            { id, request.due, request.tokens, std::nullopt, kind.priority, goesFirst, {}, isLate }, now);
        if (rejection)
            this->reject(id);
        else
            this->schedule(request.entry);
    }

    void reject(RequestId id)
    {
        Request request = this->open.at(id);
        this->open.erase(id);
        this->tally.longestWait = std::max(this->tally.longestWait, this->timers.now() - request.arrivedAt);
        ++this->tally.rejections;
        if (request.isRetry) {
            ++this->tally.rejectedTwice;
            ++this->kindTallies[request.kind].rejectedTwice;
            return;
        }
        request.isRetry = true;
        this->timers.subscribeAfter(
            chooseRetryAfter(CallerTimeLeft, this->random), [this, request] { this->submit(request); });
    }

    void schedule(std::size_t index)
    {
        Entry& entry = *this->entries[index];
        ReservationSchedule schedule = entry.queue.schedule(this->candidates,
            DataCentreId { std::to_string(index % DataCentres) }, this->timers.now(), this->random);
        for (RequestId id : schedule.overdue)
            this->reject(id);
        for (const EarlyRejection& rejection : schedule.rejected)
            this->reject(rejection.request);
        for (const ReservationCall& call : schedule.calls) {
            ++this->tally.reservations;
            this->timers.subscribeAfter(RoundTrip, [this, index, call] { this->onAnswer(index, call); });
        }
        bool isSooner
            = schedule.nextAt && (!entry.nextDispatchAt || *schedule.nextAt < *entry.nextDispatchAt);
        if (!isSooner)
            return;
        entry.nextDispatchAt = schedule.nextAt;
        this->timers.subscribeAt(*schedule.nextAt, [this, index, due = *schedule.nextAt] {
            if (this->entries[index]->nextDispatchAt != due)
                return;
            this->entries[index]->nextDispatchAt.reset();
            this->schedule(index);
        });
    }

    void onAnswer(std::size_t index, const ReservationCall& call)
    {
        Entry& entry = *this->entries[index];
        bool hasRoom = this->used[call.engine] + call.tokens <= EngineTokens;
        auto result = hasRoom ? ReservationResult::Granted : ReservationResult::Refused;
        bool isServed = entry.queue.onAnswer(call, result, this->timers.now());
        if (isServed)
            this->serve(index, call);
        else if (hasRoom)
            entry.load.release(call.engine, call.tokens);
        this->schedule(index);
    }

    void serve(std::size_t index, const ReservationCall& call)
    {
        Request request = this->open.at(call.request);
        this->open.erase(call.request);
        this->used[call.engine] += call.tokens;
        bool isOnTime = this->timers.now() <= request.begunAt + this->scale.kinds[request.kind].maxWait;
        Callers& callers = this->callersOf(request);
        ++callers.served;
        callers.onTime += isOnTime ? 1 : 0;
        ++(request.isRetry ? this->tally.late : this->tally.onTime);
        Tally& kind = this->kindTallies[request.kind];
        ++(request.isRetry ? kind.late : kind.onTime);
        kind.largeServed += request.tokens > LargeTokens ? 1 : 0;
        this->tally.longestWait = std::max(this->tally.longestWait, this->timers.now() - request.arrivedAt);
        this->timers.subscribeAfter(TimePerToken * request.output, [this, index, call] {
            this->used[call.engine] -= call.tokens;
            this->entries[index]->load.release(call.engine, call.tokens);
            this->schedule(index);
        });
    }

    const Scale scale;
    TimerService timers;
    RandomSource random;
    std::vector<ServerRecord> records;
    std::vector<const ServerRecord*> candidates;
    std::vector<std::unique_ptr<Entry>> entries;
    std::map<ServerId, std::uint32_t> used;
    std::map<RequestId, Request> open;
    std::uint64_t lastId = 0;
    Tally tally;
    std::vector<Tally> kindTallies;
    std::map<std::int64_t, Callers> callers;
};

constexpr std::chrono::seconds SimulatedTime { 34 };

inline double share(int part, int whole) { return static_cast<double>(part) / whole; }

} // namespace peridotgrade::overload
