// Tests of permissions that end while the process is paused.
#include "peridotgrade/gateway/gateway_state.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <thread>

using namespace peridotgrade;
using namespace std::chrono_literals;

namespace {
// The logging library cannot be initialized again once the last logger is gone.
const Logger FirstLogger("test", LogLevel::Error);
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

BOOST_AUTO_TEST_SUITE_END()
