// Tests of the servers that have asked to be left alone.
#include "peridotgrade/core/serving/server_backoff.h"

#include <boost/test/unit_test.hpp>

using namespace peridotgrade;
using namespace std::chrono_literals;

namespace {

const TimePoint Start { 100s };

ServerRecord server(const char* id, std::chrono::milliseconds startedAt = 1s)
{
    ServerRecord record;
    record.id = ServerId { id };
    record.startedAt = WallTime { startedAt };
    return record;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ServerBackoffTest)

BOOST_AUTO_TEST_CASE(lastsAsLongAsTheServerAsked)
{
    ServerBackoff backoff;
    ServerRecord one = server("one");
    BOOST_TEST(!backoff.until(one, Start));
    backoff.note(one, 3s, Start);
    BOOST_TEST((backoff.until(one, Start) == Start + 3s));
    backoff.note(one, 1s, Start + 500ms);
    BOOST_TEST((backoff.until(one, Start + 2s) == Start + 3s));
    BOOST_TEST(!backoff.until(one, Start + 3s));
}

BOOST_AUTO_TEST_CASE(aNewIncarnationMayGetRequests)
{
    ServerBackoff backoff;
    backoff.note(server("one"), 30s, Start);
    ServerRecord restarted = server("one", 2s);
    BOOST_TEST(!backoff.until(restarted, Start));
    backoff.note(restarted, 1s, Start);
    BOOST_TEST((backoff.until(restarted, Start) == Start + 1s));
}

BOOST_AUTO_TEST_CASE(allAreBusyOnlyIfEachOneIs)
{
    ServerBackoff backoff;
    ServerRecord one = server("one");
    ServerRecord two = server("two");
    BOOST_TEST(!backoff.untilOfAll({}, Start));
    backoff.note(one, 5s, Start);
    BOOST_TEST(!backoff.untilOfAll({ &one, &two }, Start));
    backoff.note(two, 2s, Start);
    BOOST_TEST((backoff.untilOfAll({ &one, &two }, Start) == Start + 2s));
    backoff.forget(two.id);
    BOOST_TEST(!backoff.untilOfAll({ &one, &two }, Start));
}

BOOST_AUTO_TEST_CASE(boundsTheTime)
{
    ServerBackoff backoff;
    ServerRecord one = server("one");
    backoff.note(one, 1000h, Start);
    BOOST_TEST((backoff.until(one, Start) == Start + ServerBackoff::MaxTime));
}

BOOST_AUTO_TEST_SUITE_END()
