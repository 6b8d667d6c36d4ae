// Tests that a server that stops answers requests that have just been sent.
#include "peridotgrade/net/http_server.h"
#include "peridotgrade/net/sleep.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

using namespace peridotgrade;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

const std::string Request = "GET / HTTP/1.1\r\n\r\n";

struct Fixture {
    Fixture()
        : server(context.get_executor(), settings(),
            [](HttpExchange& exchange) -> asio::awaitable<void> {
                HttpResponse response;
                bool isStream = exchange.request().path() == "/stream";
                if (!isStream) {
                    co_await exchange.respond(std::move(response));
                    co_return;
                }
                co_await exchange.beginStream(std::move(response));
                co_await sleepFor(exchange.executor(), 100ms);
                co_await exchange.endStream();
            })
        , endpoint(std::get<Endpoint>(this->server.start()))
    {
    }

    HttpServerSettings settings()
    {
        HttpServerSettings result;
        result.listen = { "127.0.0.1", 0 };
        result.onRequestDropped = [this](const DroppedRequest&) { ++this->droppedRequests; };
        return result;
    }

    template <typename Body> void run(Body body)
    {
        asio::co_spawn(
            this->context,
            [&]() -> asio::awaitable<void> {
                co_await body();
                this->context.stop();
            },
            [](std::exception_ptr failure) {
                if (failure)
                    std::rethrow_exception(failure);
            });
        this->context.run_for(5s);
    }

    /// Connects before the server can accept.
    tcp::socket connect()
    {
        tcp::socket socket(this->context);
        socket.connect({ asio::ip::make_address(this->endpoint.address), this->endpoint.port });
        return socket;
    }

    asio::awaitable<std::string> readStatus(tcp::socket& socket)
    {
        std::string answer;
        boost::system::error_code ignored;
        co_await asio::async_read_until(socket, asio::dynamic_buffer(answer), "\r\n\r\n",
            asio::redirect_error(asio::use_awaitable, ignored));
        co_return answer.substr(0, 12);
    }

    /// All that the server sends until it closes.
    asio::awaitable<std::string> readAll(tcp::socket& socket)
    {
        std::string answers;
        boost::system::error_code ignored;
        co_await asio::async_read(
            socket, asio::dynamic_buffer(answers), asio::redirect_error(asio::use_awaitable, ignored));
        co_return answers;
    }

    asio::io_context context;
    std::size_t droppedRequests = 0;
    HttpServer server;
    Endpoint endpoint;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(HttpStopTest, Fixture)

BOOST_AUTO_TEST_CASE(requestThatArrivesAsIdleConnectionsAreClosedIsAnswered)
{
    this->run([&]() -> asio::awaitable<void> {
        tcp::socket kept = this->connect();
        asio::write(kept, asio::buffer(Request));
        BOOST_TEST(co_await this->readStatus(kept) == "HTTP/1.1 200");
        co_await sleepFor(this->context.get_executor(), 20ms);
        asio::write(kept, asio::buffer(Request));
        this->server.disableKeepAlive();
        BOOST_TEST(co_await this->readStatus(kept) == "HTTP/1.1 200");
    });
}

BOOST_AUTO_TEST_CASE(connectionThatWaitsToBeAcceptedIsServed)
{
    this->run([&]() -> asio::awaitable<void> {
        std::vector<tcp::socket> sockets;
        for (int number = 0; number < 8; ++number) {
            sockets.push_back(this->connect());
            asio::write(sockets.back(), asio::buffer(Request));
        }
        this->server.stopAccepting();
        for (tcp::socket& socket : sockets)
            BOOST_TEST(co_await this->readStatus(socket) == "HTTP/1.1 200");
    });
}

BOOST_AUTO_TEST_CASE(newConnectionHasTimeForItsRequest)
{
    this->run([&]() -> asio::awaitable<void> {
        tcp::socket early = this->connect();
        co_await sleepFor(this->context.get_executor(), 50ms);
        tcp::socket late = this->connect();
        this->server.stopAccepting();
        co_await sleepFor(this->context.get_executor(), 50ms);
        BOOST_TEST(this->server.arrivingRequests() == 2U);
        for (tcp::socket* socket : { &early, &late }) {
            asio::write(*socket, asio::buffer(Request));
            BOOST_TEST(co_await this->readStatus(*socket) == "HTTP/1.1 200");
        }
        co_await sleepFor(this->context.get_executor(), 20ms);
        BOOST_TEST(this->server.arrivingRequests() == 0U);
    });
}

BOOST_AUTO_TEST_CASE(connectionsWithoutARequestDoNotDelayTheStop)
{
    this->run([&]() -> asio::awaitable<void> {
        tcp::socket silent = this->connect();
        co_await sleepFor(this->context.get_executor(), 20ms);
        this->server.stopAccepting();
        BOOST_TEST((co_await this->readStatus(silent)).empty());
        co_await sleepFor(this->context.get_executor(), 20ms);
        BOOST_TEST(this->server.arrivingRequests() == 0U);
    });
}

// Guards against requests on kept connections that a stopping server reads and drops.
BOOST_AUTO_TEST_CASE(requestAfterIdleConnectionsWereClosedIsNotReadAndDropped)
{
    this->run([&]() -> asio::awaitable<void> {
        tcp::socket kept = this->connect();
        asio::write(kept, asio::buffer(Request));
        BOOST_TEST(co_await this->readStatus(kept) == "HTTP/1.1 200");
        co_await sleepFor(this->context.get_executor(), 20ms);
        this->server.disableKeepAlive();
        co_await sleepFor(this->context.get_executor(), 100ms);
        BOOST_TEST(this->server.openConnections() == 0U);
        boost::system::error_code ignored;
        asio::write(kept, asio::buffer(Request), ignored);
        BOOST_TEST((co_await this->readStatus(kept)).empty());
        BOOST_TEST(this->droppedRequests == 0U);
    });
}

// Guards against a request that was sent behind a stream being read and dropped, as the connection closes
// after it.
BOOST_AUTO_TEST_CASE(requestBehindAStreamThatOutlastsTheCloseIsAnswered)
{
    this->run([&]() -> asio::awaitable<void> {
        tcp::socket readWithTheStream = this->connect();
        tcp::socket sentDuringTheStream = this->connect();
        const std::string stream = "GET /stream HTTP/1.1\r\n\r\n";
        asio::write(readWithTheStream, asio::buffer(stream + Request));
        asio::write(sentDuringTheStream, asio::buffer(stream));
        co_await sleepFor(this->context.get_executor(), 30ms);
        asio::write(sentDuringTheStream, asio::buffer(Request));
        this->server.disableKeepAlive();
        for (tcp::socket* socket : { &readWithTheStream, &sentDuringTheStream }) {
            std::string answers = co_await this->readAll(*socket);
            BOOST_TEST(answers.find("HTTP/1.1 200", 12) != std::string::npos, answers);
            BOOST_TEST(answers.find("Connection: close") != std::string::npos, answers);
        }
        BOOST_TEST(this->droppedRequests == 0U);
    });
}

// Guards against clients that leave inside a request being reported as dropped ones.
BOOST_AUTO_TEST_CASE(clientThatLeavesInsideItsRequestIsNotReported)
{
    this->run([&]() -> asio::awaitable<void> {
        for (std::string part : { "GET / HT", "GET / HTTP/1.1\r\nHost: a\r\n" }) {
            tcp::socket leaving = this->connect();
            asio::write(leaving, asio::buffer(part));
            co_await sleepFor(this->context.get_executor(), 10ms);
            leaving.close();
            co_await sleepFor(this->context.get_executor(), 10ms);
        }
        BOOST_TEST(this->server.openConnections() == 0U);
        BOOST_TEST(this->droppedRequests == 0U);
    });
}

// Guards against requests in two pieces whose connection is ended without an answer as the process stops.
BOOST_AUTO_TEST_CASE(requestThatHasArrivedInPartIsAnsweredWhenNoTimeIsLeft)
{
    this->run([&]() -> asio::awaitable<void> {
        tcp::socket inHeader = this->connect();
        tcp::socket inBody = this->connect();
        tcp::socket silent = this->connect();
        asio::write(inHeader, asio::buffer("GET / HTTP/1.1\r\nHo", 18));
        asio::write(inBody, asio::buffer(std::string { "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf" }));
        co_await sleepFor(this->context.get_executor(), 20ms);
        this->server.stopAccepting();
        co_await sleepFor(this->context.get_executor(), 20ms);
        BOOST_TEST(this->server.arrivingRequests() == 3U);
        this->server.refuseArriving();
        BOOST_TEST(co_await this->readStatus(inHeader) == "HTTP/1.1 503");
        BOOST_TEST(co_await this->readStatus(inBody) == "HTTP/1.1 503");
        BOOST_TEST((co_await this->readStatus(silent)).empty());
        BOOST_TEST(this->server.arrivingRequests() == 0U);
    });
}

BOOST_AUTO_TEST_SUITE_END()
