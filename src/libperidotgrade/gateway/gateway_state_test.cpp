// Tests of the shared state: permissions that end in a pause, load awareness, ends of servers after lost
// runs.
#include "peridotgrade/gateway/gateway_state.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>

#include <cstdint>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace peridotgrade;
using namespace std::chrono_literals;

namespace {

// The logging library cannot be initialized again once the last logger is gone.
const Logger FirstLogger("test", LogLevel::Error);

GatewaySettings quietSettings()
{
    GatewaySettings settings;
    settings.logLevel = LogLevel::Error;
    return settings;
}

/// A server that accepts connections, at which runs are lost.
struct LostRunFixture {
    static constexpr std::chrono::milliseconds FirstIncarnation { 1000 };
    static constexpr std::chrono::milliseconds SecondIncarnation { 2000 };

    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor listener { context,
        boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0) };
    boost::asio::steady_timer end { context };
    MetricsRegistry registry;
    GatewayState state { context.get_executor(), quietSettings(), registry, 1 };
    const std::string address = "127.0.0.1:" + std::to_string(listener.local_endpoint().port());
    std::vector<ServerCrash> ended;
    std::uint64_t listings = 0;
    int notedRuns = 0;

    LostRunFixture()
    {
        this->state.onServerEnded
            = [this](const ServerCrash& incarnation) { this->ended.push_back(incarnation); };
        this->list(FirstIncarnation);
    }

    void list(std::chrono::milliseconds startedAt)
    {
        ListedServer listed;
        listed.id = ServerId { "i-1" };
        listed.offset = LogOffset { ++this->listings };
        listed.record.emplace();
        listed.record->id = listed.id;
        listed.record->address = this->address;
        listed.record->startedAt = WallTime { startedAt };
        this->state.onDirectoryChanges(this->state.directory.apply({ listed }, this->state.now()));
    }

    /// Returns at once; `notedRuns` counts the runs of which the state has then taken note.
    void loseRun()
    {
        boost::asio::co_spawn(
            this->context,
            [this]() -> boost::asio::awaitable<void> {
                GatewayRequest request;
                co_await this->state.noteLostRun(ServerId { "i-1" }, request);
                ++this->notedRuns;
            },
            boost::asio::detached);
    }

    void runUntilNoted(int runs)
    {
        TimePoint limit = this->state.now() + 10s;
        while (this->notedRuns < runs && this->state.now() < limit)
            this->context.run_one_for(1s);
        BOOST_REQUIRE(this->notedRuns == runs);
    }

    void runUntilCounted(const std::string& check, int number)
    {
        TimePoint limit = this->state.now() + 10s;
        while (this->checks(check) < number && this->state.now() < limit)
            this->context.run_one_for(1s);
        BOOST_REQUIRE(this->checks(check) == number);
    }

    void endServerAfter(std::chrono::milliseconds delay)
    {
        this->end.expires_after(delay);
        this->end.async_wait([this](const boost::system::error_code&) { this->listener.close(); });
    }

    /// Number of the checks with that purpose and result.
    int checks(const std::string& check) const
    {
        const std::string label = "{check=\"" + check + "\"} ";
        std::string text = this->registry.text();
        std::size_t at = text.find(label);
        return at == std::string::npos ? 0 : std::stoi(text.substr(at + label.size()));
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(GatewayStateTest)

// An entry that was paused for longer than its membership lasts must not spend retries that other entries
// have by now, also when a retry is the first thing that it does.
BOOST_AUTO_TEST_CASE(retriesEndWithTheMembershipBeforeTheNextSpend)
{
    boost::asio::io_context context;
    MetricsRegistry registry;
    GatewaySettings settings;
    settings.retries = { 0, 100, 10s };
    settings.logLevel = LogLevel::Error;
    GatewayState state(context.get_executor(), settings, registry, 1);
    const ServiceId service { "s1" };
    HeldPartitions held;
    held.total = 1;
    held.numbers = { 0 };
    held.isConfirmed = true;
    state.noteMembership(1, held, TimerDriver::bootNow() + 100ms);
    RetryBudgetShare& kept = state.retryBudgetOf(service);
    BOOST_TEST(kept.trySpend(state.spendTime()));
    std::this_thread::sleep_for(150ms);
    // A call in progress has the budget of before the pause.
    BOOST_TEST(!kept.trySpend(state.spendTime()));
    BOOST_TEST(state.retryBudgetOf(service).left(state.now()) < 1);
    // The next confirmation brings the share back, but no tokens at once.
    state.noteMembership(1, held, TimerDriver::bootNow() + 10s);
    BOOST_TEST(!kept.trySpend(state.spendTime()));
}

// Scheduling becomes load-aware with the first report of a slow machine, and not with a report of load alone,
// which servers of earlier deployments send too.
BOOST_AUTO_TEST_CASE(reportsOfSlownessMakeSchedulingLoadAware)
{
    boost::asio::io_context context;
    MetricsRegistry registry;
    GatewaySettings settings;
    settings.logLevel = LogLevel::Error;
    GatewayState state(context.get_executor(), settings, registry, 1);
    ServerRecord server;
    server.id = ServerId { "i-1" };
    ServerNotice notice;
    notice.load = ServerLoadReport { 3, 0, 8, 1 };
    state.noteServerNotice(server, notice);
    BOOST_TEST(!state.isLoadAware());
    BOOST_TEST(!state.pace.reportedRequests(server, state.now()).has_value());
    notice.load->slowness = 2.5;
    state.noteServerNotice(server, notice);
    BOOST_TEST(state.whyLoadAware() == "slowness_reports");
    BOOST_TEST(state.pace.factor(server, state.now()) > 1);
}

// A process that ends on a busy machine still accepts connections when it is asked after the lost run.
BOOST_FIXTURE_TEST_CASE(serverThatEndsSoonAfterALostRunIsFoundToHaveEnded, LostRunFixture)
{
    this->loseRun();
    this->runUntilNoted(1);
    BOOST_TEST(this->ended.empty());
    this->endServerAfter(100ms);
    this->context.run_for(2s);
    BOOST_REQUIRE(this->ended.size() == 1U);
    BOOST_TEST(this->ended.front().server == "i-1");
    BOOST_TEST(this->ended.front().incarnation == std::uint64_t { FirstIncarnation.count() });
    BOOST_TEST(this->checks("lost_run/not_refused") == 1);
    BOOST_TEST(this->checks("lost_run_later/refused") == 1);
}

// Another process may have inherited it, or a server has accepted it and not yet closed it.
BOOST_FIXTURE_TEST_CASE(acceptedConnectionThatOutlivesTheListenerDoesNotHideTheEnd, LostRunFixture)
{
    this->loseRun();
    this->runUntilNoted(1);
    this->context.run_for(50ms);
    std::vector<boost::asio::ip::tcp::socket> kept;
    this->listener.non_blocking(true);
    boost::system::error_code error;
    while (!error) {
        boost::asio::ip::tcp::socket accepted(this->context);
        this->listener.accept(accepted, error);
        if (!error)
            kept.push_back(std::move(accepted));
    }
    BOOST_REQUIRE(!kept.empty());
    this->listener.close();
    this->context.run_for(2s);
    BOOST_TEST(this->ended.size() == 1U);
    BOOST_TEST(this->checks("lost_run_later/refused") == 1);
}

// The crash is that of the process that had the run, also if the list shows its successor by now.
BOOST_FIXTURE_TEST_CASE(laterEndIsThatOfTheIncarnationThatLostTheRun, LostRunFixture)
{
    this->loseRun();
    this->runUntilNoted(1);
    this->list(SecondIncarnation);
    this->endServerAfter(100ms);
    this->context.run_for(2s);
    BOOST_REQUIRE(this->ended.size() == 1U);
    BOOST_TEST(this->ended.front().incarnation == std::uint64_t { FirstIncarnation.count() });
}

// Requests do not wait for the second check.
BOOST_FIXTURE_TEST_CASE(soundServerIsCheckedOnceMoreAfterALostRun, LostRunFixture)
{
    this->loseRun();
    this->runUntilNoted(1);
    BOOST_TEST(this->checks("lost_run/not_refused") == 1);
    BOOST_TEST(this->checks("lost_run_later/not_refused") == 0);
    this->context.run_for(3s);
    BOOST_TEST(this->ended.empty());
    BOOST_TEST(this->checks("lost_run_later/not_refused") == 1);
    BOOST_TEST(this->checks("lost_run_later/refused") == 0);
}

BOOST_FIXTURE_TEST_CASE(runsLostTogetherAreFollowedByOneCheckAtATime, LostRunFixture)
{
    constexpr int Runs = 5;
    for (int run = 0; run < Runs; ++run)
        this->loseRun();
    this->runUntilNoted(Runs);
    TimePoint notedAt = this->state.now();
    this->runUntilCounted("lost_run_later/not_refused", 2);
    BOOST_TEST((this->state.now() - notedAt) > 900ms);
    // The runs after the first are noted while its check is in progress, and share another one.
    this->context.run_for(1s);
    BOOST_TEST(this->checks("lost_run/not_refused") == Runs);
    BOOST_TEST(this->checks("lost_run_later/not_refused") == 2);
}

// The server may end after the check that is in progress.
BOOST_FIXTURE_TEST_CASE(runLostDuringACheckIsFollowedByAnother, LostRunFixture)
{
    this->loseRun();
    this->runUntilNoted(1);
    this->loseRun();
    this->runUntilNoted(2);
    this->runUntilCounted("lost_run_later/not_refused", 1);
    this->endServerAfter(100ms);
    this->context.run_for(2s);
    BOOST_TEST(this->ended.size() == 1U);
    BOOST_TEST(this->checks("lost_run_later/refused") == 1);
}

// A gateway that stops destroys the state before the event loop.
BOOST_FIXTURE_TEST_CASE(stateMayBeDestroyedDuringACheck, LostRunFixture)
{
    this->loseRun();
    this->runUntilNoted(1);
    this->context.poll();
    BOOST_TEST(this->checks("lost_run_later/not_refused") == 0);
}

BOOST_AUTO_TEST_SUITE_END()
