// Tests of idempotency keys and of KeyMap.
#include "key_map.h"
#include "test_keys.h"

#include <boost/test/unit_test.hpp>

using namespace peridotgrade;
using namespace peridotgrade::testing;

BOOST_AUTO_TEST_SUITE(idempotency_key)

BOOST_AUTO_TEST_CASE(only_version_7_uuids_are_keys)
{
    BOOST_TEST(parseIdempotencyKey("01890a5d-ac96-774b-bcce-b302099a8057").has_value());
    for (const char* text : { "", "01890a5d-ac96-474b-bcce-b302099a8057", "01890a5dac96774bbcceb302099a8057",
             "01890a5d-ac96-774b-bcce-b302099a805", "01890a5d-ac96-774b-bcce-b302099a805g",
             "01890a5d-ac96-774b-bcce+b302099a8057", "x01890a5d-ac96-774b-bcce-b302099a8057" })
        BOOST_TEST(!parseIdempotencyKey(text).has_value());
}

BOOST_AUTO_TEST_CASE(case_makes_no_difference)
{
    auto upper = parseIdempotencyKey("01890A5D-AC96-774B-BCCE-B302099A8057");
    auto lower = parseIdempotencyKey("01890a5d-ac96-774b-bcce-b302099a8057");
    BOOST_TEST((upper == lower));
}

BOOST_AUTO_TEST_CASE(the_creation_time_is_read_from_scoped_keys_too)
{
    IdempotencyKey key = keyAt(DayStart, 7);
    IdempotencyKey scoped = scopedKey(WorkspaceId { "w" }, ServiceId { "s" }, key);
    BOOST_TEST((creationTimeOf(key) == DayStart));
    BOOST_TEST((creationTimeOf(scoped) == DayStart));
    BOOST_TEST((unscopedKey(scoped) == key));
}

BOOST_AUTO_TEST_CASE(scopes_do_not_collide)
{
    IdempotencyKey key = keyAt(DayStart, 7);
    BOOST_TEST((scopedKey(WorkspaceId { "a/b" }, ServiceId { "c" }, key)
        != scopedKey(WorkspaceId { "a" }, ServiceId { "b/c" }, key)));
    BOOST_TEST((scopedKey(WorkspaceId { "a%2fb" }, ServiceId { "c" }, key)
        != scopedKey(WorkspaceId { "a/b" }, ServiceId { "c" }, key)));
}

BOOST_AUTO_TEST_CASE(forgotten_keys_are_distinguished_from_new_ones)
{
    using std::chrono::milliseconds;
    KeyMap<int> map;
    IdempotencyKey early = keyAt(DayStart, 1);
    IdempotencyKey late = keyAt(DayStart + milliseconds { 10 }, 2);
    map.insert(early, 1);
    map.insert(late, 2);
    map.forgetUpTo(DayStart + milliseconds { 5 });
    BOOST_TEST(!map.find(early));
    BOOST_TEST(map.isForgotten(early));
    BOOST_TEST(*map.find(late) == 2);
    map.forgetUpTo(DayStart - milliseconds { 5 });
    BOOST_TEST(map.isForgotten(early));
    BOOST_TEST(map.isForgotten(IdempotencyKey { "no uuid" }));
}

BOOST_AUTO_TEST_SUITE_END()
