// Tests which pooled connections may be reused and which must not be.
#include "peridotgrade/net/http_channel.h"

#include "peridotgrade/net/sleep.h"
#include "peridotgrade/net/timer_driver.h"
#include "test_support/scripted_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

using namespace peridotgrade;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

const std::string CompleteResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

constexpr std::size_t LongerThanBuffers = 16'000'000;

struct Fixture {
    asio::io_context context;

    /// Sends two requests, one after the other; returns the bodies, with `error` for a failure.
    std::vector<std::string> exchangeTwice(ScriptedServer& server, Duration maxIdle)
    {
        std::vector<std::string> bodies;
        auto pool = std::make_shared<HttpChannelPool>(context.get_executor(), server.endpoint());
        asio::co_spawn(
            context,
            [&]() -> asio::awaitable<void> {
                for (int round = 0; round < 2; ++round) {
                    auto opened = co_await pool->open(maxIdle, 1s);
                    auto channel = std::get<std::shared_ptr<HttpChannel>>(opened);
                    channel->send(HttpRequest {});
                    auto head = co_await channel->readHead(1s);
                    std::string body;
                    bool isOk = std::holds_alternative<HttpResponse>(head);
                    while (isOk) {
                        auto piece = co_await channel->readBody(1s);
                        isOk = std::holds_alternative<std::string>(piece);
                        if (!isOk || std::get<std::string>(piece).empty())
                            break;
                        body += std::get<std::string>(piece);
                    }
                    bodies.push_back(isOk ? body : "error");
                    if (isOk)
                        pool->release(channel);
                }
                pool->clear();
                context.stop();
            },
            asio::detached);
        context.run_for(5s);
        return bodies;
    }

    enum class EndOfConnection : std::uint8_t { Reset, Orderly };

    /// Reads a body without a length whose server ends the connection before it has read the request.
    bool endsWithAnError(EndOfConnection end)
    {
        asio::ip::tcp::acceptor acceptor(context, { asio::ip::address_v4::loopback(), 0 });
        asio::co_spawn(
            context,
            [&]() -> asio::awaitable<void> {
                auto socket = co_await acceptor.async_accept(asio::use_awaitable);
                std::string answer = "HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: x\n\n";
                co_await asio::async_write(socket, asio::buffer(answer), asio::use_awaitable);
                co_await sleepFor(context.get_executor(), 50ms);
                if (end == EndOfConnection::Reset)
                    socket.set_option(asio::socket_base::linger(true, 0));
                else
                    socket.shutdown(asio::ip::tcp::socket::shutdown_send);
                if (end == EndOfConnection::Orderly)
                    co_await sleepFor(context.get_executor(), 1s);
            },
            asio::detached);
        std::optional<bool> hasFailed;
        asio::co_spawn(
            context,
            [&]() -> asio::awaitable<void> {
                Endpoint server { "127.0.0.1", acceptor.local_endpoint().port() };
                HttpChannelPool pool(context.get_executor(), server);
                auto opened = co_await pool.open(1s, 1s);
                auto channel = std::get<std::shared_ptr<HttpChannel>>(opened);
                HttpRequest request;
                request.method = "POST";
                request.body.resize(LongerThanBuffers, 'x');
                channel->send(std::move(request));
                co_await channel->readHead(1s);
                auto piece = co_await channel->readBody(1s);
                while (std::holds_alternative<std::string>(piece) && !std::get<std::string>(piece).empty())
                    piece = co_await channel->readBody(1s);
                hasFailed = std::holds_alternative<NetError>(piece);
                context.stop();
            },
            asio::detached);
        context.run_for(5s);
        BOOST_REQUIRE(hasFailed.has_value());
        return *hasFailed;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(HttpChannelTest, Fixture)

BOOST_AUTO_TEST_CASE(reusesAConnectionThatIsAtAMessageBoundary)
{
    ScriptedServer server(context, { CompleteResponse, CompleteResponse });
    auto bodies = exchangeTwice(server, 1s);
    BOOST_TEST((bodies == std::vector<std::string> { "ok", "ok" }));
    BOOST_TEST(server.connections == 1);
}

BOOST_AUTO_TEST_CASE(neverReusesBeyondTheIdleTime)
{
    ScriptedServer server(context, { CompleteResponse, CompleteResponse });
    exchangeTwice(server, Duration::zero());
    BOOST_TEST(server.connections == 2);
}

BOOST_AUTO_TEST_CASE(connectionWithBytesAfterAResponseIsNotReused)
{
    ScriptedServer server(context,
        { CompleteResponse + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong", CompleteResponse });
    auto bodies = exchangeTwice(server, 1s);
    BOOST_TEST((bodies == std::vector<std::string> { "ok", "ok" }));
    BOOST_TEST(server.connections == 2);
}

BOOST_AUTO_TEST_CASE(respectsConnectionCloseAndKeepAlive)
{
    ScriptedServer closing(
        context, { "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", CompleteResponse });
    exchangeTwice(closing, 1s);
    BOOST_TEST(closing.connections == 2);
    context.restart();
    ScriptedServer brief(context,
        { "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok", CompleteResponse });
    exchangeTwice(brief, 1s);
    BOOST_TEST(brief.connections == 2);
}

BOOST_AUTO_TEST_CASE(truncatedBodiesAreErrors)
{
    ScriptedServer server(context, { "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", "" });
    auto bodies = exchangeTwice(server, 1s);
    BOOST_TEST((bodies == std::vector<std::string> { "error", "error" }));
}

// An answer that breaks off must not look complete: here the connection ends before the last chunk, in a
// chunk and after one.
BOOST_AUTO_TEST_CASE(chunkedBodiesWithoutALastChunkAreErrors)
{
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const char* body : { "5\r\nhel", "5\r\nhello\r\n", "5\r\nhello\r\n0\r\n" }) {
        context.restart();
        // The server closes after the one answer that it has.
        ScriptedServer server(context, { head + body });
        auto bodies = exchangeTwice(server, 1s);
        BOOST_REQUIRE(!bodies.empty());
        BOOST_TEST(bodies.front() == "error");
    }
}

BOOST_AUTO_TEST_CASE(bodyWithoutLengthEndsWithItsConnection)
{
    ScriptedServer server(context, { "HTTP/1.1 200 OK\r\n\r\nuntil the end", CompleteResponse });
    auto bodies = exchangeTwice(server, 1s);
    // The scripted server keeps the connection open, so the read times out and the body does not appear
    // complete.
    BOOST_TEST(bodies.front() == "error");
}

BOOST_AUTO_TEST_CASE(resetOfABodyWithoutLengthIsNotItsEndWhileTheRequestIsWritten)
{
    BOOST_TEST(endsWithAnError(EndOfConnection::Reset));
}

BOOST_AUTO_TEST_CASE(bodyWithoutLengthIsWholeAtAnOrderlyEndWhileTheRequestIsWritten)
{
    BOOST_TEST(!endsWithAnError(EndOfConnection::Orderly));
}

BOOST_AUTO_TEST_CASE(bytesThatBelongToNoBodyAreBounded)
{
    std::string interim;
    for (int number = 0; number < 20'000; ++number)
        interim += "HTTP/1.1 100 Continue\r\n\r\n";
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string filling(2 * 1024 * 1024, 'x');
    for (const std::string& endless : { interim, "HTTP/1.1 200 OK\r\nField: " + filling,
             chunked + "5;extension=" + filling, chunked + "5\r\nhello\r\n0\r\nTrailer: " + filling }) {
        context.restart();
        ScriptedServer server(context, { endless, CompleteResponse });
        TimePoint began = TimerDriver::now();
        auto bodies = exchangeTwice(server, 1s);
        BOOST_REQUIRE(!bodies.empty());
        BOOST_TEST(bodies[0] == "error");
        BOOST_TEST((TimerDriver::now() - began < 900ms));
    }
}

BOOST_AUTO_TEST_CASE(fewInterimResponsesAreSkipped)
{
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
    ScriptedServer server(context, { interim + CompleteResponse, CompleteResponse });
    auto bodies = exchangeTwice(server, 1s);
    BOOST_TEST((bodies == std::vector<std::string> { "ok", "ok" }));
}

BOOST_AUTO_TEST_CASE(statusesOutsideTheProtocolAreErrors)
{
    for (const char* status : { "000", "099", "101", "600", "700", "999" }) {
        context.restart();
        ScriptedServer server(context,
            { "HTTP/1.1 " + std::string { status } + " Status\r\nContent-Length: 2\r\n\r\nno",
                CompleteResponse });
        auto bodies = exchangeTwice(server, 1s);
        BOOST_REQUIRE(!bodies.empty());
        BOOST_TEST(bodies[0] == "error", status);
    }
}

BOOST_AUTO_TEST_SUITE_END()
