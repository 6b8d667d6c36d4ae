// Tests of what the HTTP server holds for clients that send large bodies or read slowly.
#include "peridotgrade/net/http_server.h"
#include "peridotgrade/net/sleep.h"
#include "peridotgrade/net/timer_driver.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
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

constexpr std::size_t Budget = 1'000'000;
constexpr std::size_t LargeBody = 600'000;
constexpr std::size_t LargeAnswer = 6'000'000;
constexpr std::chrono::milliseconds WriteTimeout { 150 };

struct Fixture {
    Fixture()
        : memory(std::make_shared<BodyMemory>(Budget))
        , server(context.get_executor(), makeSettings(),
              [this](HttpExchange& exchange) { return this->serve(exchange); })
        , endpoint(std::get<Endpoint>(this->server.start()))
    {
    }

    HttpServerSettings makeSettings() const
    {
        HttpServerSettings settings;
        settings.listen = { "127.0.0.1", 0 };
        settings.writeTimeout = WriteTimeout;
        settings.receiveBufferBytes = 16 * 1024;
        settings.bodyMemory = this->memory;
        return settings;
    }

    asio::awaitable<void> serve(HttpExchange& exchange)
    {
        this->heldWhileServing = this->memory->used();
        HttpResponse response;
        if (exchange.request().path() == "/large")
            response.body.assign(LargeAnswer, 'x');
        if (exchange.request().path() == "/hold")
            co_await sleepFor(this->context.get_executor(), 300ms);
        bool isSent = co_await exchange.respond(std::move(response));
        this->unsent += isSent ? 0 : 1;
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
        this->context.run_for(20s);
    }

    asio::awaitable<tcp::socket> connect()
    {
        tcp::socket socket(this->context);
        socket.open(tcp::v4());
        socket.set_option(asio::socket_base::receive_buffer_size(64 * 1024));
        tcp::endpoint peer(asio::ip::make_address(this->endpoint.address), this->endpoint.port);
        co_await socket.async_connect(peer, asio::use_awaitable);
        co_return socket;
    }

    asio::awaitable<std::string> readRest(tcp::socket& socket)
    {
        std::string answer;
        boost::system::error_code ignored;
        co_await asio::async_read(
            socket, asio::dynamic_buffer(answer), asio::redirect_error(asio::use_awaitable, ignored));
        co_return answer;
    }

    static std::string requestOf(const std::string& path, const std::string& framing)
    {
        return "POST " + path + " HTTP/1.1\r\nConnection: close\r\n" + framing + "\r\n\r\n";
    }
    static std::string lengthOf(std::size_t bytes) { return "Content-Length: " + std::to_string(bytes); }

    asio::io_context context;
    std::shared_ptr<BodyMemory> memory;
    std::size_t heldWhileServing = 0;
    int unsent = 0;
    HttpServer server;
    Endpoint endpoint;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(HttpMemoryTest, Fixture)

// Bodies of many callers that arrive slowly would end the process otherwise.
BOOST_AUTO_TEST_CASE(bodyBeyondTheBudgetIsRefusedAndSmallOnesAreServed)
{
    this->run([&]() -> asio::awaitable<void> {
        tcp::socket slow = co_await this->connect();
        std::string head = requestOf("/", lengthOf(LargeBody));
        co_await asio::async_write(slow, asio::buffer(head), asio::use_awaitable);
        co_await sleepFor(this->context.get_executor(), 50ms);
        BOOST_TEST(this->memory->used() == LargeBody);
        for (const std::string& framing :
            { lengthOf(LargeBody), std::string { "Transfer-Encoding: chunked" } }) {
            // The client sends all of its body before it reads, and gets the response even so.
            tcp::socket second = co_await this->connect();
            std::string body = "927c0\r\n" + std::string(LargeBody, 'x') + "\r\n0\r\n\r\n";
            std::string bytes = requestOf("/", framing) + body;
            co_await asio::async_write(second, asio::buffer(bytes), asio::use_awaitable);
            std::string answer = co_await this->readRest(second);
            BOOST_TEST(answer.substr(0, 12) == "HTTP/1.1 503");
            BOOST_TEST(answer.find("Retry-After: 1\r\n") != std::string::npos);
            BOOST_TEST(this->memory->used() == LargeBody);
        }
        tcp::socket small = co_await this->connect();
        std::string request = requestOf("/", lengthOf(4)) + "body";
        co_await asio::async_write(small, asio::buffer(request), asio::use_awaitable);
        BOOST_TEST((co_await this->readRest(small)).substr(0, 12) == "HTTP/1.1 200");
        BOOST_TEST(this->heldWhileServing == LargeBody + 4);
        std::string body(LargeBody, 'x');
        co_await asio::async_write(slow, asio::buffer(body), asio::use_awaitable);
        BOOST_TEST((co_await this->readRest(slow)).substr(0, 12) == "HTTP/1.1 200");
        BOOST_TEST(this->memory->used() == 0U);
    });
}

// A body counts while its request is served, and no longer on a connection that is kept.
BOOST_AUTO_TEST_CASE(bodyCountsToTheEndOfItsExchange)
{
    this->run([&]() -> asio::awaitable<void> {
        tcp::socket kept = co_await this->connect();
        std::string request
            = "POST /hold HTTP/1.1\r\n" + lengthOf(1000) + "\r\n\r\n" + std::string(1000, 'x');
        co_await asio::async_write(kept, asio::buffer(request), asio::use_awaitable);
        co_await sleepFor(this->context.get_executor(), 100ms);
        BOOST_TEST(this->memory->used() == 1000U);
        std::string head;
        co_await asio::async_read_until(kept, asio::dynamic_buffer(head), "\r\n\r\n", asio::use_awaitable);
        co_await sleepFor(this->context.get_executor(), 20ms);
        BOOST_TEST(this->memory->used() == 0U);
    });
}

// The send buffer is so large that the kernel reports space more rarely than the time-out.
BOOST_AUTO_TEST_CASE(clientThatReadsSteadilyGetsTheWholeResponse)
{
    this->run([&]() -> asio::awaitable<void> {
        tcp::socket slow = co_await this->connect();
        std::string request = requestOf("/large", lengthOf(0));
        co_await asio::async_write(slow, asio::buffer(request), asio::use_awaitable);
        std::size_t received = 0;
        std::string part(64 * 1024, '\0');
        boost::system::error_code error;
        TimePoint began = TimerDriver::now();
        while (!error) {
            received += co_await slow.async_read_some(
                asio::buffer(part), asio::redirect_error(asio::use_awaitable, error));
            co_await sleepFor(this->context.get_executor(), 12ms);
        }
        BOOST_TEST((TimerDriver::now() - began > 4 * WriteTimeout));
        BOOST_TEST(received > LargeAnswer);
        BOOST_TEST(this->unsent == 0);
    });
}

BOOST_AUTO_TEST_CASE(clientThatReadsNothingIsEnded)
{
    this->run([&]() -> asio::awaitable<void> {
        tcp::socket idle = co_await this->connect();
        std::string request = requestOf("/large", lengthOf(0));
        co_await asio::async_write(idle, asio::buffer(request), asio::use_awaitable);
        for (int tries = 0; tries < 100 && this->unsent == 0; ++tries)
            co_await sleepFor(this->context.get_executor(), 20ms);
        BOOST_TEST(this->unsent == 1);
        // What was not sent is dropped by the kernel too.
        BOOST_TEST((co_await this->readRest(idle)).size() < LargeAnswer);
    });
}

BOOST_AUTO_TEST_SUITE_END()
