// Tests of the choice of engines.
#include "peridotgrade/core/serving/engine_load.h"

#include <boost/test/unit_test.hpp>

using namespace peridotgrade;
using namespace std::chrono_literals;

namespace {

const DataCentreId Here { "here" };
const DataCentreId There { "there" };

ServerRecord engineNamed(const std::string& name, const DataCentreId& dataCentre)
{
    ServerRecord record;
    record.id = ServerId { name };
    record.dataCentre = dataCentre;
    record.role = ServerRole::Decode;
    return record;
}

struct Fixture {
    ServerRecord near = engineNamed("near", Here);
    ServerRecord far = engineNamed("far", There);
    std::vector<const ServerRecord*> both { &near, &far };
    EngineLoad load;
    RandomSource random { 1 };
    TimePoint now { 10s };

    std::optional<ServerId> choose(std::uint32_t tokens)
    {
        return load.choose(both, Here, tokens, now, random);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EngineLoadTest, Fixture)

BOOST_AUTO_TEST_CASE(prefersOwnDataCentreUntilItIsFuller)
{
    BOOST_TEST(choose(3000)->raw() == "near");
    load.reserve(near.id, 3000);
    BOOST_TEST(choose(3000)->raw() == "far");
    load.release(near.id, 3000);
    BOOST_TEST(choose(3000)->raw() == "near");
}

BOOST_AUTO_TEST_CASE(refusalHoldsForItsSizeUntilItExpires)
{
    load.noteRefusal(near.id, 3000, now);
    load.noteRefusal(far.id, 3000, now);
    BOOST_TEST(!choose(3000));
    BOOST_TEST(!choose(4000));
    BOOST_TEST(!choose(2500));
    BOOST_TEST(choose(1500).has_value());
    now += EngineLoad::RefusalLifetime;
    BOOST_TEST(choose(4000).has_value());
}

BOOST_AUTO_TEST_CASE(fullEngineGetsOneRequestAtATime)
{
    // Guards against a long queue in which every request tried every full engine, 160 times each in the
    // overload test.
    load.noteRefusal(near.id, 3000, now);
    load.noteUnusable(far.id, now);
    now += EngineLoad::RefusalLifetime;
    BOOST_TEST(choose(3000)->raw() == "near");
    load.noteRequested(near.id);
    BOOST_TEST(!choose(3000));
    load.noteGranted(near.id);
    load.noteRequested(near.id);
    BOOST_TEST(choose(3000)->raw() == "near");
}

BOOST_AUTO_TEST_CASE(endOfAnOwnStreamClearsTheRefusal)
{
    load.reserve(near.id, 3000);
    load.noteRefusal(near.id, 3000, now);
    load.noteRefusal(far.id, 3000, now);
    load.release(near.id, 3000);
    BOOST_TEST(choose(3000)->raw() == "near");
}

BOOST_AUTO_TEST_CASE(engineThatGrantsAndThenRejectsBacksOff)
{
    // Guards against an engine that grants every reservation while it carries out a late role change: with
    // the fewest tokens it was chosen again and again, and 34 prefills were wasted.
    std::uint32_t timesChosen = 0;
    TimePoint end = now + 6s;
    while (now < end) {
        if (choose(3000) == near.id) {
            ++timesChosen;
            load.noteUnusable(near.id, now);
        }
        now += 50ms;
    }
    BOOST_TEST(timesChosen <= 7U);
    load.noteServed(near.id);
    BOOST_TEST(choose(3000)->raw() == "near");
}

BOOST_AUTO_TEST_CASE(engineInAnotherRoleGetsNoRequestsUntilTheListHasCaughtUp)
{
    load.noteSuperseded(near.id, now);
    BOOST_TEST(choose(3000)->raw() == "far");
    now += EngineLoad::MaxBackoff - 1ms;
    BOOST_TEST(choose(3000)->raw() == "far");
    now += 1ms;
    BOOST_TEST(choose(3000)->raw() == "near");
}

BOOST_AUTO_TEST_CASE(announcedRoleChangeHoldsWhileEarlierRequestsAreServed)
{
    // Guards against new work for an engine that is leaving the role but still answers what it got before.
    load.noteAnnouncedRoleChange(near.id, now + 4s);
    load.noteServed(near.id);
    BOOST_TEST(choose(100)->raw() == "far");
    BOOST_TEST((load.nextRetryAt(now) == now + 4s));
    now += 4s;
    BOOST_TEST(choose(100)->raw() == "near");
}

BOOST_AUTO_TEST_CASE(reportsWhenTheNextBackoffEnds)
{
    BOOST_TEST(!load.nextRetryAt(now));
    load.noteUnusable(near.id, now);
    load.noteRefusal(far.id, 10, now);
    BOOST_TEST((load.nextRetryAt(now) == now + EngineLoad::RefusalLifetime));
}

BOOST_AUTO_TEST_SUITE_END()
