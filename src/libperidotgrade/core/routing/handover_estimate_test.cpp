// Tests of the estimated hand-over time.
#include "handover_estimate.h"

#include "peridotgrade/core/base/random_source.h"

#include <boost/test/unit_test.hpp>

using namespace peridotgrade;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(handover_estimate)

BOOST_AUTO_TEST_CASE(expects_zero_before_the_first_handover)
{
    BOOST_TEST((HandoverEstimate {}.expected(10'000) == Duration::zero()));
}

BOOST_AUTO_TEST_CASE(fixed_and_per_token_parts_are_found_and_follow_a_change)
{
    RandomSource random(1);
    HandoverEstimate estimate;
    auto feed = [&](Duration fixed, Duration perToken) {
        for (int i = 0; i < 2'000; ++i) {
            auto tokens = static_cast<std::uint32_t>(random.below(20'000));
            estimate.record(tokens, fixed + perToken * tokens);
        }
    };
    feed(40ms, 25us);
    BOOST_TEST((estimate.expected(10'000) > 285ms && estimate.expected(10'000) < 295ms));
    feed(40ms, 100us);
    BOOST_TEST((estimate.expected(10'000) > 1030ms && estimate.expected(10'000) < 1050ms));
}

BOOST_AUTO_TEST_CASE(prompts_of_equal_size_give_the_mean_duration)
{
    HandoverEstimate estimate;
    estimate.record(100, 40ms);
    estimate.record(100, 60ms);
    Duration expected = estimate.expected(5'000);
    BOOST_TEST((expected > 49ms && expected < 51ms));
}

BOOST_AUTO_TEST_SUITE_END()
