// Tests of AnswerChannel and CallChannel.
#include "answer_channel.h"
#include "call_channel.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>
#include <boost/test/unit_test.hpp>

#include <thread>

using namespace peridotgrade;
namespace asio = boost::asio;

namespace {

constexpr std::size_t UnlimitedBytes = 1024 * 1024;

DeliverTokens tokensAt(std::uint32_t index, std::vector<std::string> pieces)
{
    return DeliverTokens { RequestId { 1 }, index, std::move(pieces) };
}

} // namespace

BOOST_AUTO_TEST_CASE(tokensFromAnotherThreadArriveCompleteAndInOrder)
{
    constexpr std::uint32_t Tokens = 20'000;
    asio::io_context io;
    auto strand = asio::make_strand(io);
    AnswerChannel channel(strand, UnlimitedBytes);
    std::vector<std::string> received;
    std::optional<FinishAnswer> finish;
    auto consume = [&]() -> asio::awaitable<void> {
        while (!finish) {
            AnswerProgress progress = co_await channel.next();
            for (TokenBatch& batch : progress.batches)
                received.insert(received.end(), batch.pieces.begin(), batch.pieces.end());
            finish = progress.finish;
        }
    };
    asio::co_spawn(strand, consume(), asio::detached);
    bool isAccepted = true;
    std::thread producer([&channel, &isAccepted] {
        for (std::uint32_t index = 0; index < Tokens; ++index)
            isAccepted &= channel.onTokens(tokensAt(index, { std::to_string(index) }), TimePoint {});
        channel.onFinished(FinishAnswer { RequestId { 1 }, FinishReason::Stop, 1, Tokens });
    });
    // The waiting consumer keeps `io.run` from returning until it has read the end.
    io.run();
    producer.join();
    BOOST_CHECK(isAccepted);
    BOOST_REQUIRE(finish);
    BOOST_REQUIRE_EQUAL(received.size(), Tokens);
    for (std::uint32_t index = 0; index < Tokens; ++index)
        BOOST_REQUIRE_EQUAL(received[index], std::to_string(index));
}

BOOST_AUTO_TEST_CASE(callerThatDoesNotReadIsDisconnectedAtTheLimit)
{
    asio::io_context io;
    auto strand = asio::make_strand(io);
    AnswerChannel channel(strand, 10);
    BOOST_CHECK(channel.onTokens(tokensAt(0, { "12345" }), TimePoint {}));
    BOOST_CHECK(!channel.onTokens(tokensAt(1, { "123456" }), TimePoint {}));
    BOOST_CHECK(!channel.onTokens(tokensAt(2, { "1" }), TimePoint {}));
    bool isDisconnected = false;
    auto consume = [&]() -> asio::awaitable<void> {
        AnswerProgress progress = co_await channel.next();
        isDisconnected = progress.isDisconnected;
    };
    asio::co_spawn(strand, consume(), asio::detached);
    io.run();
    BOOST_CHECK(isDisconnected);
}

BOOST_AUTO_TEST_CASE(tokensAreAcceptedAgainAfterTheQueueWasRead)
{
    asio::io_context io;
    auto strand = asio::make_strand(io);
    AnswerChannel channel(strand, 10);
    BOOST_CHECK(channel.onTokens(tokensAt(0, { "1234567" }), TimePoint {}));
    auto consume = [&]() -> asio::awaitable<void> { co_await channel.next(); };
    asio::co_spawn(strand, consume(), asio::detached);
    io.run();
    BOOST_CHECK(channel.onTokens(tokensAt(1, { "1234567" }), TimePoint {}));
}

BOOST_AUTO_TEST_CASE(answerAfterTheCallerDisconnectedIsDropped)
{
    asio::io_context io;
    auto strand = asio::make_strand(io);
    CallChannel channel(strand);
    channel.markDisconnected();
    channel.onAnswer(ApplicationAnswer {});
    bool isDisconnected = false;
    auto consume = [&]() -> asio::awaitable<void> {
        CallEnd end = co_await channel.wait();
        isDisconnected = std::holds_alternative<CallerDisconnected>(end);
    };
    asio::co_spawn(strand, consume(), asio::detached);
    io.run();
    BOOST_CHECK(isDisconnected);
}
