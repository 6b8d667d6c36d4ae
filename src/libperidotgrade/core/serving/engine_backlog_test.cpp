// Guards against a backlog that is seen where there is none, or that is remembered for too long.
#include "peridotgrade/core/serving/engine_backlog.h"

#include <boost/test/unit_test.hpp>

using namespace peridotgrade;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start { 10s };

ServerRecord engineOf(const char* name, std::chrono::seconds startedAt = 1s)
{
    ServerRecord record;
    record.id = ServerId { name };
    record.startedAt = WallTime { startedAt };
    return record;
}

} // namespace

BOOST_AUTO_TEST_SUITE(EngineBacklogTest)

BOOST_AUTO_TEST_CASE(waitIsCountedInTokensAndForgotten)
{
    EngineBacklog backlog;
    ServerRecord busy = engineOf("busy");
    BOOST_TEST(backlog.tokensAt(busy, Start) == 0U);
    backlog.record(busy, 3000, 100ms, 300ms, Start);
    BOOST_TEST(backlog.tokensAt(busy, Start) == 6000U);
    std::uint64_t later = backlog.tokensAt(busy, Start + EngineBacklog::Lifetime);
    BOOST_TEST(later > 2000U);
    BOOST_TEST(later < 2500U);
    BOOST_TEST(backlog.tokensAt(busy, Start + EngineBacklog::Lifetime * 10) == 0U);
}

BOOST_AUTO_TEST_CASE(usualVariationIsNoBacklog)
{
    EngineBacklog backlog;
    ServerRecord idle = engineOf("idle");
    backlog.record(idle, 3000, 100ms, 300ms, Start);
    backlog.record(idle, 3000, 100ms, 140ms, Start + 1s);
    BOOST_TEST(backlog.tokensAt(idle, Start + 1s) == 0U);
    backlog.record(idle, 3000, 0ms, 140ms, Start + 1s);
    BOOST_TEST(backlog.tokensAt(idle, Start + 1s) == 0U);
}

BOOST_AUTO_TEST_CASE(anotherIncarnationHasNoBacklog)
{
    EngineBacklog backlog;
    backlog.record(engineOf("engine"), 3000, 100ms, 300ms, Start);
    BOOST_TEST(backlog.tokensAt(engineOf("engine", 2s), Start) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
