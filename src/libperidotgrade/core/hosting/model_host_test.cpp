// Tests of the model host alone: queued reservation requests, leases, cancellations, late messages.
#include "peridotgrade/core/hosting/model_host.h"

#include <boost/test/unit_test.hpp>

using namespace peridotgrade;
using namespace std::chrono_literals;

namespace {

const ConnectionId Connection { 1 };

struct Fixture {
    TimerService timers;
    RandomSource random { 1 };
    NullEventSink events;
    ModelHost host { ModelHostSettings { .agent = AgentId { "a" } }, timers, random, events };
    SessionEpoch epoch;

    Fixture()
    {
        EngineUp up;
        up.incarnation = Incarnation { 7 };
        up.placesTotal = 1;
        up.kvTokensTotal = 1000;
        up.kvTokensPerPiece = 10;
        up.models = { ModelId { "m" } };
        this->host.onEngineEvent(up);
        this->host.onEngineEvent(EngineListing {});
        this->host.onConnected(Connection);
        this->host.onMessage(Connection, OpenSession { EntryId { "e" } });
        this->epoch = this->sent<SessionOpened>().at(0).epoch;
    }

    static AttemptId attempt(std::uint64_t request) { return AttemptId { RequestId { request }, 1 }; }

    /// Messages of one type that the host sent since the last call; all other actions are discarded.
    template <typename Message> std::vector<Message> sent()
    {
        std::vector<Message> found;
        for (const HostAction& action : this->host.takeActions()) {
            const auto* toEntry = std::get_if<SendToEntry>(&action);
            if (const auto* message = toEntry ? std::get_if<Message>(&toEntry->message) : nullptr)
                found.push_back(*message);
        }
        return found;
    }

    template <typename Command> std::vector<Command> commands()
    {
        std::vector<Command> found;
        for (const HostAction& action : this->host.takeActions()) {
            const auto* toEngine = std::get_if<SendToEngine>(&action);
            if (const auto* command = toEngine ? std::get_if<Command>(&toEngine->command) : nullptr)
                found.push_back(*command);
        }
        return found;
    }

    void requestReservation(std::uint64_t request, std::chrono::milliseconds maxQueueTime = 0ms)
    {
        ReservationRequest message;
        message.epoch = this->epoch;
        message.attempt = attempt(request);
        message.model = ModelId { "m" };
        message.promptTokens = 100;
        message.maxOutputTokens = 100;
        message.maxQueueTime = maxQueueTime;
        this->host.onMessage(Connection, message);
    }

    void startDecode(std::uint64_t request)
    {
        StartDecode message;
        message.epoch = this->epoch;
        message.attempt = attempt(request);
        message.model = ModelId { "m" };
        message.timeLeft = 500ms;
        this->host.onMessage(Connection, message);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(model_host, Fixture)

BOOST_AUTO_TEST_CASE(a_queued_request_is_granted_the_reservation_that_becomes_free)
{
    this->requestReservation(1);
    this->startDecode(1);
    auto first = this->commands<EngineDecode>();
    BOOST_REQUIRE(first.size() == 1U);
    this->requestReservation(2, 100ms);
    BOOST_TEST(this->sent<ReservationGranted>().empty());
    EngineTokens last;
    last.stream = first[0].stream;
    last.isLast = true;
    this->host.onEngineEvent(last);
    BOOST_TEST(this->sent<ReservationGranted>().size() == 1U);
    BOOST_TEST(this->host.counters().reservationsHeld == 1U);
}

BOOST_AUTO_TEST_CASE(a_request_that_queues_too_long_is_refused)
{
    this->requestReservation(1);
    this->requestReservation(2, 100ms);
    this->timers.advance(TimePoint { 99ms });
    BOOST_TEST(this->sent<ReservationRefused>().empty());
    this->timers.advance(TimePoint { 100ms });
    BOOST_TEST(this->sent<ReservationRefused>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_queued_request_that_is_released_is_not_granted)
{
    this->requestReservation(1);
    this->requestReservation(2, 100ms);
    this->host.onMessage(Connection, ReleaseAttempt { this->epoch, attempt(2) });
    BOOST_TEST(this->host.counters().reservationsHeld == 1U);
    this->host.onMessage(Connection, ReleaseAttempt { this->epoch, attempt(1) });
    BOOST_TEST(this->host.counters().reservationsHeld == 0U);
}

BOOST_AUTO_TEST_CASE(a_message_of_an_earlier_epoch_is_refused_and_changes_nothing)
{
    SessionEpoch earlier = this->epoch;
    this->host.onMessage(Connection, OpenSession { EntryId { "e" } });
    this->host.takeActions();
    this->epoch = earlier;
    this->requestReservation(1);
    BOOST_TEST(this->sent<SessionRefused>().size() == 1U);
    BOOST_TEST(this->host.counters().reservationsHeld == 0U);
}

BOOST_AUTO_TEST_CASE(reservations_expire_without_renewal_and_not_with_it)
{
    this->requestReservation(1);
    this->timers.advance(TimePoint { 2s });
    this->host.onMessage(Connection, RenewSession { this->epoch, { attempt(1) } });
    this->timers.advance(TimePoint { 4s });
    BOOST_TEST(this->host.counters().reservationsHeld == 1U);
    this->timers.advance(TimePoint { 5s });
    BOOST_TEST(this->host.counters().reservationsHeld == 0U);
    BOOST_TEST(this->host.counters().leasesExpired == 1U);
}

BOOST_AUTO_TEST_CASE(a_renewal_frees_what_it_does_not_list)
{
    this->requestReservation(1);
    this->host.onMessage(Connection, RenewSession { this->epoch, {} });
    BOOST_TEST(this->host.counters().reservationsHeld == 0U);
}

BOOST_AUTO_TEST_CASE(a_cancellation_is_repeated_until_confirmed_and_the_reservation_held_until_then)
{
    this->requestReservation(1);
    this->startDecode(1);
    this->host.onMessage(Connection, ReleaseAttempt { this->epoch, attempt(1) });
    auto cancels = this->commands<EngineCancel>();
    BOOST_REQUIRE(cancels.size() == 1U);
    this->timers.advance(TimePoint { 1s });
    BOOST_TEST(this->commands<EngineCancel>().size() == 5U);
    BOOST_TEST(this->host.counters().reservationsHeld == 1U);
    this->host.onEngineEvent(EngineCancelled { cancels[0].stream });
    BOOST_TEST(this->host.counters().reservationsHeld == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
