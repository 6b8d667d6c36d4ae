// Tests of the growth and the cap of the backoff delays.
#include "peridotgrade/core/base/backoff.h"

#include <boost/test/unit_test.hpp>

using namespace peridotgrade;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(backoff)

BOOST_AUTO_TEST_CASE(delays_double_within_jitter_up_to_the_cap)
{
    RandomSource random(1);
    Backoff backoff(100ms, 1s);
    Duration full = 100ms;
    for (int failure = 0; failure < 50; ++failure) {
        Duration delay = backoff.next(random);
        BOOST_TEST((delay >= full / 2 && delay <= full));
        full = std::min<Duration>(full * 2, 1s);
    }
    backoff.reset();
    BOOST_TEST((backoff.next(random) <= Duration { 100ms }));
}

BOOST_AUTO_TEST_SUITE_END()
