// Tests of the rate limits of workspaces.
#include "peridotgrade/core/admission/workspace_rate_limiter.h"

#include <boost/test/unit_test.hpp>

using namespace peridotgrade;

namespace {

Workspace workspaceOf(const std::string& id, double requests, double tokens)
{
    Workspace workspace;
    workspace.id = WorkspaceId { id };
    workspace.requestsPerSecond = requests;
    workspace.outputTokensPerSecond = tokens;
    return workspace;
}

TimePoint at(int milliseconds) { return TimePoint { std::chrono::milliseconds { milliseconds } }; }

int admittedWithin(
    WorkspaceRateLimiter& limiter, const Workspace& workspace, std::uint32_t tokens, int seconds)
{
    int admitted = 0;
    for (int time = 0; time < seconds * 1000; ++time)
        admitted += limiter.admit(workspace, tokens, at(time)) ? 0 : 1;
    return admitted;
}

} // namespace

BOOST_AUTO_TEST_CASE(requestRateHoldsOverTime)
{
    WorkspaceRateLimiter limiter;
    int admitted = admittedWithin(limiter, workspaceOf("w", 10, 0), 100, 20);
    // Twenty seconds at the rate plus the burst of an idle workspace.
    BOOST_CHECK_GE(admitted, 200);
    BOOST_CHECK_LE(admitted, 222);
}

BOOST_AUTO_TEST_CASE(tokenRateHoldsForRequestsLargerThanItsBurst)
{
    WorkspaceRateLimiter limiter;
    int admitted = admittedWithin(limiter, workspaceOf("w", 0, 100), 1000, 100);
    BOOST_CHECK_GE(admitted, 10);
    BOOST_CHECK_LE(admitted, 12);
}

BOOST_AUTO_TEST_CASE(entriesShareTheRateOfTheSite)
{
    WorkspaceRateLimiter limiter;
    limiter.setEntryCount(5);
    int admitted = admittedWithin(limiter, workspaceOf("w", 10, 0), 1, 20);
    BOOST_CHECK_GE(admitted, 40);
    BOOST_CHECK_LE(admitted, 46);
}

BOOST_AUTO_TEST_CASE(workspacesDoNotAffectEachOther)
{
    WorkspaceRateLimiter limiter;
    Workspace greedy = workspaceOf("greedy", 1, 0);
    while (!limiter.admit(greedy, 1, at(0))) { }
    BOOST_CHECK(!limiter.admit(workspaceOf("modest", 1, 0), 1, at(0)));
    BOOST_CHECK(!limiter.admit(workspaceOf("unlimited", 0, 0), 1'000'000, at(0)));
}

BOOST_AUTO_TEST_CASE(servedAgainAfterTheReturnedWait)
{
    WorkspaceRateLimiter limiter;
    Workspace workspace = workspaceOf("w", 0, 100);
    BOOST_CHECK(!limiter.admit(workspace, 700, at(0)));
    auto wait = limiter.admit(workspace, 1, at(0));
    BOOST_REQUIRE(wait);
    BOOST_CHECK(limiter.admit(workspace, 1, at(0) + *wait - std::chrono::milliseconds { 2 }));
    BOOST_CHECK(!limiter.admit(workspace, 1, at(0) + *wait));
}

BOOST_AUTO_TEST_CASE(unusedTokensAreRefundedUpToTheBurst)
{
    WorkspaceRateLimiter limiter;
    Workspace workspace = workspaceOf("w", 0, 100);
    BOOST_CHECK(!limiter.admit(workspace, 1000, at(0)));
    limiter.refund(workspace, 990);
    BOOST_CHECK(!limiter.admit(workspace, 1, at(0)));
    limiter.refund(workspace, 1'000'000);
    BOOST_CHECK(!limiter.admit(workspace, 300, at(0)));
    BOOST_CHECK(limiter.admit(workspace, 1, at(0)));
}
