// Tests of the choice of engines by own use and refusals.
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
    EngineLoad use;
    RandomSource random { 1 };
    TimePoint now { 10s };

    std::optional<ServerId> choose(std::uint32_t tokens)
    {
        return use.choose(both, Here, tokens, now, random);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EngineUseTest, Fixture)

BOOST_AUTO_TEST_CASE(prefersOwnDataCentreUntilItIsFuller)
{
    BOOST_TEST(choose(3000)->raw() == "near");
    use.reserve(near.id, 3000);
    BOOST_TEST(choose(3000)->raw() == "far");
    use.release(near.id, 3000);
    BOOST_TEST(choose(3000)->raw() == "near");
}

BOOST_AUTO_TEST_CASE(refusalHoldsForItsSizeAndALittleWhile)
{
    use.noteRefusal(near.id, 3000, now);
    use.noteRefusal(far.id, 3000, now);
    BOOST_TEST(!choose(3000));
    BOOST_TEST(!choose(4000));
    BOOST_TEST(!choose(2500));
    BOOST_TEST(choose(1500).has_value());
    now += EngineLoad::RefusalLifetime;
    BOOST_TEST(choose(4000).has_value());
}

BOOST_AUTO_TEST_CASE(fullEngineIsAskedOnceAtATime)
{
    // Seen in the overload test: every request of a long line asked every full engine, 160 times each.
    use.noteRefusal(near.id, 3000, now);
    use.noteUnusable(far.id, now);
    now += EngineLoad::RefusalLifetime;
    BOOST_TEST(choose(3000)->raw() == "near");
    use.noteAsked(near.id);
    BOOST_TEST(!choose(3000));
    use.noteGranted(near.id);
    use.noteAsked(near.id);
    BOOST_TEST(choose(3000)->raw() == "near");
}

BOOST_AUTO_TEST_CASE(endOfAnOwnStreamMakesAnEngineWorthAsking)
{
    use.reserve(near.id, 3000);
    use.noteRefusal(near.id, 3000, now);
    use.noteRefusal(far.id, 3000, now);
    use.release(near.id, 3000);
    BOOST_TEST(choose(3000)->raw() == "near");
}

BOOST_AUTO_TEST_CASE(engineThatGrantsAndThenRejectsIsNotAskedAgainAndAgain)
{
    // Seen on a day with late orders: an engine that changed its stage granted every reservation, had the
    // fewest tokens, and so got 34 prompts that had been read for nothing.
    std::uint32_t asked = 0;
    TimePoint end = now + 6s;
    while (now < end) {
        if (choose(3000) == near.id) {
            ++asked;
            use.noteUnusable(near.id, now);
        }
        now += 50ms;
    }
    BOOST_TEST(asked <= 7U);
    use.noteServed(near.id);
    BOOST_TEST(choose(3000)->raw() == "near");
}

BOOST_AUTO_TEST_CASE(engineOfAnotherStageIsLeftAloneUntilTheListHasCaughtUp)
{
    use.noteSuperseded(near.id, now);
    BOOST_TEST(choose(3000)->raw() == "far");
    now += EngineLoad::LongestPause - 1ms;
    BOOST_TEST(choose(3000)->raw() == "far");
    now += 1ms;
    BOOST_TEST(choose(3000)->raw() == "near");
}

BOOST_AUTO_TEST_CASE(tellsWhenTheNextPauseEnds)
{
    BOOST_TEST(!use.nextRefusalEnd(now));
    use.noteUnusable(near.id, now);
    use.noteRefusal(far.id, 10, now);
    BOOST_TEST((use.nextRefusalEnd(now) == now + EngineLoad::RefusalLifetime));
}

BOOST_AUTO_TEST_SUITE_END()
