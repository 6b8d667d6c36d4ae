// Tests of the map of cached parts.
#include "peridotgrade/core/serving/prompt_cache_map.h"

#include <boost/test/unit_test.hpp>

using namespace peridotgrade;
using namespace std::chrono_literals;

namespace {

ServerRecord serverOf(const std::string& name, std::chrono::milliseconds startedAt)
{
    ServerRecord record;
    record.id = ServerId { name };
    record.startedAt = WallTime { startedAt };
    return record;
}

const std::vector<PromptPart> Parts { { Fingerprint { 1 }, 120 }, { Fingerprint { 2 }, 80 } };

} // namespace

BOOST_AUTO_TEST_SUITE(PromptCacheMapTest)

BOOST_AUTO_TEST_CASE(onlyWhatAnIncarnationReadLatelyIsCached)
{
    PromptCacheMap map;
    TimePoint now { 10s };
    ServerRecord first = serverOf("a", 1ms);
    map.noteRead(first, Parts, now);
    BOOST_TEST(map.cachedTokens(first, Parts, now) == 200U);
    BOOST_TEST(map.cachedTokens(serverOf("b", 1ms), Parts, now) == 0U);
    // Guards against a bonus for a restarted server, whose cache is empty.
    BOOST_TEST(map.cachedTokens(serverOf("a", 2ms), Parts, now) == 0U);
    BOOST_TEST(map.cachedTokens(first, Parts, now + PromptCacheMap::Lifetime) == 0U);
}

BOOST_AUTO_TEST_CASE(aPartBehindAMissingOneIsNotCached)
{
    PromptCacheMap map;
    TimePoint now { 10s };
    ServerRecord server = serverOf("a", 1ms);
    map.noteRead(server, { Parts[1] }, now);
    BOOST_TEST(map.cachedTokens(server, Parts, now) == 0U);
}

BOOST_AUTO_TEST_CASE(memoryIsBounded)
{
    PromptCacheMap map;
    TimePoint now { 10s };
    ServerRecord server = serverOf("a", 1ms);
    for (std::uint64_t id = 0; id < 3 * PromptCacheMap::MaxEntries; ++id)
        map.noteRead(server, { { Fingerprint { id }, 1 } }, now);
    BOOST_TEST(map.size() == PromptCacheMap::MaxEntries);
    map.noteRead(server, Parts, now + PromptCacheMap::Lifetime);
    BOOST_TEST(map.size() == Parts.size());
}

BOOST_AUTO_TEST_SUITE_END()
