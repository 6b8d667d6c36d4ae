// Tests of the bounds on bodies that are read to their end.
#include "peridotgrade/net/whole_body.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>

using namespace peridotgrade;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

/// Always has another part at once, up to `parts`.
struct FastSource {
    asio::awaitable<std::variant<std::string, NetError>> readBody(Duration)
    {
        co_return this->parts-- > 0 ? std::string(1000, 'x') : std::string {};
    }
    std::size_t parts = 0;
};

std::variant<std::string, NetError> readFrom(std::size_t parts, Duration time, BodyLimits limits)
{
    asio::io_context context;
    FastSource source { parts };
    std::optional<std::variant<std::string, NetError>> result;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            result = co_await readWholeBody(source, TimerDriver::now() + time, limits);
        },
        asio::detached);
    context.run();
    return *result;
}

NetErrorKind kindOf(const std::variant<std::string, NetError>& result)
{
    return std::get<NetError>(result).kind;
}

} // namespace

BOOST_AUTO_TEST_SUITE(WholeBodyTest)

BOOST_AUTO_TEST_CASE(bodyWithinItsLimitsIsRead)
{
    auto result = readFrom(5, 1s, { 5000 });
    BOOST_TEST(std::get<std::string>(result).size() == 5000U);
}

BOOST_AUTO_TEST_CASE(bodyBeyondItsLimitIsGivenUp)
{
    BOOST_TEST((kindOf(readFrom(6, 1s, { 5000 })) == NetErrorKind::TooLarge));
}

BOOST_AUTO_TEST_CASE(sourceThatNeverPausesEndsAtTheDeadline)
{
    TimePoint began = TimerDriver::now();
    auto result = readFrom(1'000'000'000, 100ms, { static_cast<std::size_t>(-1) / 2 });
    BOOST_TEST((kindOf(result) == NetErrorKind::TimedOut));
    BOOST_TEST((TimerDriver::now() - began < 1s));
}

BOOST_AUTO_TEST_CASE(bodiesShareOneMemory)
{
    BodyMemory memory(8000);
    {
        BodyMemory::Share share(&memory);
        BOOST_TEST(std::get<std::string>(readFrom(5, 1s, { 5000, &share })).size() == 5000U);
        // It counts for as long as its owner keeps it, for example for a caller that reads slowly.
        BOOST_TEST(memory.used() >= 4900U);
    }
    BOOST_TEST(memory.used() == 0U);
    BodyMemory::Share other(&memory);
    BOOST_TEST(other.tryAdd(4000));
    BodyMemory::Share share(&memory);
    BOOST_TEST((kindOf(readFrom(5, 1s, { 9000, &share })) == NetErrorKind::NoMemory));
    share.release();
    BOOST_TEST(memory.used() == 4000U);
}

BOOST_AUTO_TEST_CASE(largeBodiesLeaveMemoryToSmallOnes)
{
    constexpr std::size_t Capacity = 16 * BodyMemory::SmallBodyBytes;
    BodyMemory memory(Capacity);
    BodyMemory::Share large(&memory);
    BodyMemory::Share small(&memory);
    BOOST_TEST(!large.tryAdd(Capacity));
    BOOST_TEST(large.tryAdd(Capacity * 3 / 4));
    BOOST_TEST(!large.tryAdd(1));
    BOOST_TEST(small.tryAdd(BodyMemory::SmallBodyBytes));
    BOOST_TEST(!small.tryAdd(static_cast<std::size_t>(-1)));
    BodyMemory::Share moved = std::move(large);
    moved.release();
    BOOST_TEST(memory.used() == BodyMemory::SmallBodyBytes);
}

BOOST_AUTO_TEST_SUITE_END()
