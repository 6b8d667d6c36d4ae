// Tests of the choice of engines for waiting requests.
#include "peridotgrade/core/serving/admission_queue.h"

#include <boost/test/unit_test.hpp>

using namespace peridotgrade;
using namespace std::chrono_literals;

namespace {

const DataCentreId Here { "here" };

/// One engine, which grants or refuses what the test says.
struct Fixture {
    Fixture() { this->engine.id = ServerId { "e" }; }

    static WaitingRequest request(std::uint64_t id, RequestPriority priority, TimePoint due)
    {
        return { RequestId { id }, due, 4000, std::nullopt, priority, false, {} };
    }

    ReservationSchedule schedule(TimePoint now)
    {
        return this->queue.schedule({ &this->engine }, Here, now, this->random);
    }

    /// Lets requests of that priority arrive that are granted at once.
    void serve(RequestPriority priority, int count, TimePoint now)
    {
        for (int each = 0; each < count; ++each) {
            BOOST_REQUIRE(!this->queue.add(request(++this->lastId, priority, now + 1s), now));
            for (const ReservationCall& call : this->schedule(now).calls)
                this->queue.onAnswer(call, ReservationResult::Granted, now);
        }
    }

    ServerRecord engine;
    EngineLoad load;
    ServerLimits limits;
    AdmissionQueue queue { load, limits };
    RandomSource random { 1 };
    std::uint64_t lastId = 100;
};

} // namespace

BOOST_AUTO_TEST_SUITE(AdmissionQueueTest)

BOOST_FIXTURE_TEST_CASE(lessUrgentRequestsPauseAfterARefusal, Fixture)
{
    // Memory that becomes free goes to whoever asks next, mostly at other entries.
    const TimePoint now { 100s };
    this->serve({ 0, 0 }, 1, now);
    BOOST_REQUIRE(!this->queue.add(request(1, { 0, 1 }, now + 10s), now));
    auto calls = this->schedule(now).calls;
    BOOST_REQUIRE(calls.size() == 1U);
    this->queue.onAnswer(calls[0], ReservationResult::Refused, now);
    // As if a stream had ended there.
    this->load.release(this->engine.id, 0);
    auto paused = this->schedule(now);
    BOOST_TEST(paused.calls.empty());
    BOOST_TEST((paused.nextAt == now + AdmissionQueue::LessUrgentPause));
    calls = this->schedule(now + AdmissionQueue::LessUrgentPause).calls;
    BOOST_REQUIRE(calls.size() == 1U);
    // Near its due time it has no time to pause.
    const TimePoint end = now + 10s - 100ms;
    this->queue.onAnswer(calls[0], ReservationResult::Refused, end);
    this->load.release(this->engine.id, 0);
    BOOST_TEST(this->schedule(end + 3ms).calls.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(lateRetriesPauseUntilTheirLastAttempt, Fixture)
{
    // After a burst retries took memory from first attempts that could be on time.
    const TimePoint now { 100s };
    WaitingRequest retry = request(1, {}, now + 3300ms);
    retry.isLate = true;
    auto callsAfterRefusal = [this](TimePoint at, Duration pause) {
        for (const ReservationCall& call : this->schedule(at).calls)
            this->queue.onAnswer(call, ReservationResult::Refused, at);
        this->load.release(this->engine.id, 0);
        return this->schedule(at + pause).calls.size();
    };
    BOOST_REQUIRE(!this->queue.add(retry, now));
    BOOST_TEST(callsAfterRefusal(now, AdmissionQueue::LatePause - 1ms) == 0U);
    // Its caller does not ask again.
    BOOST_TEST(callsAfterRefusal(now + 2300ms, 1ms) == 1U);
}

BOOST_FIXTURE_TEST_CASE(firstAttemptThatHasBecomeLatePauses, Fixture)
{
    const TimePoint now { 100s };
    WaitingRequest late = request(1, {}, now + 600ms);
    late.onTimeUntil = now;
    BOOST_REQUIRE(!this->queue.add(late, now));
    auto calls = this->schedule(now).calls;
    BOOST_REQUIRE(calls.size() == 1U);
    this->queue.onAnswer(calls[0], ReservationResult::Refused, now);
    this->load.release(this->engine.id, 0);
    BOOST_TEST(this->schedule(now + 119ms).calls.empty());
    BOOST_TEST(this->schedule(now + 120ms).calls.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(requestsOfOnePriorityDoNotPause, Fixture)
{
    const TimePoint now { 100s };
    BOOST_REQUIRE(!this->queue.add(request(1, { 0, 1 }, now + 1s), now));
    auto calls = this->schedule(now).calls;
    BOOST_REQUIRE(calls.size() == 1U);
    this->queue.onAnswer(calls[0], ReservationResult::Refused, now);
    this->load.release(this->engine.id, 0);
    BOOST_TEST(this->schedule(now).calls.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(waitingRequestsAreRejectedWhenMoreUrgentOnesFillTheQueue, Fixture)
{
    // They return to their callers at once and can come back after the burst.
    TimePoint now { 100s };
    this->serve({ 0, 0 }, 1, now);
    BOOST_REQUIRE(!this->queue.add(request(1, { 0, 1 }, now + 2s), now));
    this->queue.onAnswer(this->schedule(now).calls.at(0), ReservationResult::Refused, now);
    this->schedule(now);
    BOOST_REQUIRE(!this->queue.add(request(2, { 0, 0 }, now + 2s), now));
    now += QueueForecast::MinSampleTime;
    // Nothing was granted meanwhile.
    auto rejected = this->schedule(now).rejected;
    BOOST_REQUIRE(rejected.size() == 1U);
    BOOST_TEST((rejected[0].request == RequestId { 1 }));
    BOOST_TEST((rejected[0].reason == EarlyRejectionReason::Forecast));
    BOOST_TEST(rejected[0].tokensAhead > 4000U);
    BOOST_TEST(rejected[0].tokensPerSecond == 0);
    BOOST_TEST(this->queue.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(aStarvedPriorityGoesFirst, Fixture)
{
    const TimePoint now { 100s };
    this->serve({ 0, 0 }, 10, now);
    for (std::uint64_t id = 1; id <= 4; ++id)
        BOOST_REQUIRE(!this->queue.add(request(id, { 0, 1 }, now), now));
    BOOST_TEST(this->schedule(now).overdue.size() == 4U);
    BOOST_REQUIRE(!this->queue.add(request(5, { 0, 0 }, now + 1s), now));
    BOOST_REQUIRE(!this->queue.add(request(6, { 0, 1 }, now + 1s), now));
    auto calls = this->schedule(now).calls;
    BOOST_REQUIRE(!calls.empty());
    BOOST_TEST((calls[0].request == RequestId { 6 }));
}

BOOST_AUTO_TEST_CASE(requestOfAVersionWaitsForItsEnginesOnly)
{
    ServerRecord former;
    former.id = ServerId { "former" };
    former.softwareVersion = SoftwareVersion { "v1" };
    ServerRecord next = former;
    next.id = ServerId { "next" };
    next.softwareVersion = SoftwareVersion { "v2" };
    EngineLoad load;
    load.reserve(former.id, 20'000);
    ServerLimits limits;
    AdmissionQueue queue(load, limits);
    RandomSource random(1);
    const TimePoint now { 1s };
    const DataCentreId here { "here" };
    for (std::uint64_t id = 1; id <= 4; ++id) {
        // The engine of the other version is far less loaded.
        BOOST_REQUIRE(!queue.add({ RequestId { id }, now + 1s, 3000, former.softwareVersion }, now));
    }
    BOOST_REQUIRE(!queue.add({ RequestId { 5 }, now + 2s, 3000, std::nullopt }, now));
    auto calls = queue.schedule({ &former, &next }, here, now, random).calls;
    BOOST_REQUIRE(calls.size() == 5U);
    for (const ReservationCall& call : calls)
        BOOST_TEST((call.engine == (call.request == RequestId { 5 } ? next.id : former.id)));
    for (const ReservationCall& call : calls)
        queue.onAnswer(call, ReservationResult::Refused, now);
    BOOST_TEST(queue.schedule({ &next }, here, now + EngineLoad::RefusalLifetime, random).calls.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
