// Tests of the action host and its key table.
#include "peridotgrade/core/actions/action_host.h"

#include "test_keys.h"

#include <boost/test/unit_test.hpp>

using namespace peridotgrade;
using namespace peridotgrade::testing;
using std::chrono::milliseconds;
using std::chrono::minutes;

namespace {

const ConnectionId FirstConnection { 1 };
const ConnectionId SecondConnection { 2 };
const Incarnation CurrentIncarnation { 7 };

struct HostFixture {
    HostFixture()
        : host(settings(), timers, events)
    {
        host.onConnected(FirstConnection);
        host.onConnected(SecondConnection);
    }

    static ActionHostSettings settings()
    {
        ActionHostSettings settings;
        settings.agent = AgentId { "app-1" };
        settings.incarnation = CurrentIncarnation;
        settings.startedAt = DayStart;
        settings.answerCacheBytes = 100;
        settings.maxKeys = 4;
        return settings;
    }

    void start(const IdempotencyKey& key, milliseconds timeLeft = milliseconds { 1000 },
        Incarnation incarnation = CurrentIncarnation, ConnectionId connection = FirstConnection)
    {
        StartAction message;
        message.key = key;
        message.incarnation = incarnation;
        message.timeLeft = timeLeft;
        host.onMessage(connection, message);
    }

    void query(const IdempotencyKey& key, bool seal, ConnectionId connection = FirstConnection,
        Incarnation incarnation = CurrentIncarnation)
    {
        QueryAction message;
        message.key = key;
        message.incarnation = incarnation;
        message.seal = seal;
        host.onMessage(connection, message);
    }

    /// Sorts the host's actions by kind.
    void collect()
    {
        for (ActionHostAction& action : host.takeActions()) {
            if (auto* call = std::get_if<CallApplication>(&action)) {
                calls.push_back(*call);
                continue;
            }
            auto& sent = std::get<SendToEntry>(action);
            if (auto* report = std::get_if<ActionReport>(&sent.message))
                reports.push_back(*report);
            else
                others.push_back(sent);
        }
    }

    ActionState lastState()
    {
        collect();
        BOOST_REQUIRE(!reports.empty());
        return reports.back().state;
    }

    void answerLast(const std::string& body)
    {
        collect();
        ApplicationAnswer answer;
        answer.status = 200;
        answer.body = body;
        host.onCallEnded(calls.back().number, ApplicationCallResult::Answered, answer);
    }

    TimerService timers;
    NullEventSink events;
    ActionHost host;
    std::vector<CallApplication> calls;
    std::vector<ActionReport> reports;
    std::vector<SendToEntry> others;
    const IdempotencyKey key = keyAt(DayStart, 1);
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(action_host, HostFixture)

BOOST_AUTO_TEST_CASE(a_key_is_run_once_and_repeats_get_its_answer)
{
    start(key);
    start(key);
    BOOST_TEST((lastState() == ActionState::Running));
    answerLast("done");
    query(key, true, SecondConnection);
    BOOST_TEST((lastState() == ActionState::Answered));
    BOOST_TEST(reports.back().answer.body == "done");
    BOOST_TEST(calls.size() == 1u);
    BOOST_TEST(!calls.front().isRepeatable);
}

BOOST_AUTO_TEST_CASE(a_key_with_a_tombstone_is_never_run)
{
    query(key, false);
    BOOST_TEST((lastState() == ActionState::Absent));
    query(key, true);
    BOOST_TEST((lastState() == ActionState::Sealed));
    start(key);
    BOOST_TEST((lastState() == ActionState::Sealed));
    BOOST_TEST(calls.empty());
}

BOOST_AUTO_TEST_CASE(messages_for_another_incarnation_are_rejected)
{
    start(key, milliseconds { 1000 }, Incarnation { 8 });
    BOOST_TEST((lastState() == ActionState::WrongIncarnation));
    query(key, true, FirstConnection, Incarnation { 8 });
    BOOST_TEST((lastState() == ActionState::WrongIncarnation));
    BOOST_TEST(calls.empty());
}

BOOST_AUTO_TEST_CASE(a_forgotten_key_is_not_run_again)
{
    start(key);
    answerLast("done");
    timers.advance(TimePoint {} + minutes { 36 });
    start(key);
    BOOST_TEST((lastState() == ActionState::RefusedUnstarted));
    query(key, true);
    BOOST_TEST((lastState() == ActionState::Forgotten));
    BOOST_TEST(calls.size() == 1u);
}

BOOST_AUTO_TEST_CASE(keys_beyond_the_bound_are_refused_not_rerun)
{
    for (std::uint32_t serial = 1; serial <= 6; ++serial)
        start(keyAt(DayStart + milliseconds { serial }, serial));
    start(keyAt(DayStart + milliseconds { 1 }, 1));
    BOOST_TEST((lastState() == ActionState::RefusedUnstarted));
    BOOST_TEST(calls.size() == 6u);
}

BOOST_AUTO_TEST_CASE(old_answers_are_dropped_before_their_keys)
{
    start(key);
    answerLast(std::string(80, 'a'));
    IdempotencyKey second = keyAt(DayStart, 2);
    start(second);
    answerLast(std::string(80, 'b'));
    query(key, false);
    BOOST_TEST((lastState() == ActionState::Forgotten));
    query(second, false);
    BOOST_TEST((lastState() == ActionState::Answered));
}

BOOST_AUTO_TEST_CASE(a_lost_call_is_reported_and_an_unsent_one_leaves_a_tombstone)
{
    start(key);
    collect();
    host.onCallEnded(calls.back().number, ApplicationCallResult::Lost, {});
    BOOST_TEST((lastState() == ActionState::Lost));
    IdempotencyKey second = keyAt(DayStart, 2);
    start(second);
    collect();
    host.onCallEnded(calls.back().number, ApplicationCallResult::NotSent, {});
    BOOST_TEST((lastState() == ActionState::RefusedUnstarted));
    start(second);
    BOOST_TEST((lastState() == ActionState::Sealed));
    BOOST_TEST(calls.size() == 2u);
}

BOOST_AUTO_TEST_CASE(draining_starts_nothing_and_finishes_what_runs)
{
    start(key);
    collect();
    host.drain();
    collect();
    BOOST_TEST(others.size() == 2u);
    IdempotencyKey second = keyAt(DayStart, 2);
    start(second);
    BOOST_TEST((lastState() == ActionState::RefusedUnstarted));
    StartRead read;
    read.timeLeft = milliseconds { 1000 };
    host.onMessage(FirstConnection, read);
    collect();
    BOOST_TEST((std::get<ReadFailed>(others.back().message).isDraining));
    BOOST_TEST(!host.isDrained());
    answerLast("done");
    BOOST_TEST(host.isDrained());
    BOOST_TEST(calls.size() == 1u);
}

BOOST_AUTO_TEST_CASE(after_a_lost_connection_the_answer_reaches_the_last_querier)
{
    start(key);
    host.onDisconnected(FirstConnection);
    query(key, true, SecondConnection);
    BOOST_TEST((lastState() == ActionState::Running));
    auto before = reports.size();
    answerLast("done");
    BOOST_TEST((lastState() == ActionState::Answered));
    BOOST_TEST(reports.size() == before + 1);
}

BOOST_AUTO_TEST_CASE(a_start_without_time_left_is_refused_for_good)
{
    start(key, milliseconds { 0 });
    BOOST_TEST((lastState() == ActionState::RefusedUnstarted));
    start(key);
    BOOST_TEST((lastState() == ActionState::Sealed));
}

BOOST_AUTO_TEST_SUITE_END()
