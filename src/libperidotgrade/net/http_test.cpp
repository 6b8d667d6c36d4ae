// Tests of the HTTP server and client against each other over loopback.
#include "peridotgrade/net/http_client.h"
#include "peridotgrade/net/http_server.h"

#include "test_support/scripted_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <thread>

using namespace peridotgrade;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

constexpr std::size_t SplitRequests = 1000;

asio::awaitable<void> serveTestPages(HttpExchange& exchange, std::atomic<bool>& isDisconnected)
{
    if (exchange.request().path() == "/stream") {
        HttpResponse head;
        head.contentType = "text/event-stream";
        head.body = "one";
        co_await exchange.beginStream(std::move(head));
        co_await exchange.writeChunk("two");
        co_await exchange.endStream();
        co_return;
    }
    if (exchange.request().path() == "/wait") {
        asio::steady_timer forever(exchange.executor(), 1h);
        exchange.onClientDisconnect([&] {
            isDisconnected = true;
            forever.cancel();
        });
        boost::system::error_code ignored;
        co_await forever.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        co_return;
    }
    if (exchange.request().path() == "/nothing") {
        HttpResponse response;
        response.status = 204;
        response.body = "no response with this status has a body";
        co_await exchange.respond(std::move(response));
        co_return;
    }
    if (exchange.request().path() == "/pause") {
        asio::steady_timer shortWait(exchange.executor(), 2ms);
        exchange.onClientDisconnect([&] { isDisconnected = true; });
        co_await shortWait.async_wait(asio::use_awaitable);
    }
    HttpResponse response;
    response.body
        = exchange.request().method + " " + exchange.request().query("q") + " " + exchange.request().body;
    co_await exchange.respond(std::move(response));
}

HttpRequest makeRequest(std::string method, std::string target, std::string body = {})
{
    HttpRequest request;
    request.method = std::move(method);
    request.target = std::move(target);
    request.body = std::move(body);
    return request;
}

struct HttpFixture {
    HttpFixture()
        : server(context.get_executor(), makeSettings(),
            [this](HttpExchange& exchange) { return serveTestPages(exchange, this->isDisconnected); })
    {
        this->endpoint = std::get<Endpoint>(this->server.start());
    }

    static HttpServerSettings makeSettings()
    {
        HttpServerSettings settings;
        settings.listen = { "127.0.0.1", 0 };
        settings.maxBodyBytes = 1000;
        settings.maxHeaderBytes = 2000;
        settings.readTimeout = 100ms;
        return settings;
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
        this->context.run();
    }

    /// Sends a request in two writes, with blocking calls, and returns the start of the response.
    std::string sendInTwo(const std::string& head, const std::string& body)
    {
        asio::io_context ownContext;
        asio::ip::tcp::socket socket(ownContext);
        socket.connect({ asio::ip::make_address(this->endpoint.address), this->endpoint.port });
        socket.set_option(asio::ip::tcp::no_delay(true));
        asio::write(socket, asio::buffer(head));
        asio::write(socket, asio::buffer(body));
        std::string answer;
        boost::system::error_code ignored;
        asio::read(socket, asio::dynamic_buffer(answer), ignored);
        return answer.substr(0, 12);
    }

    /// Sends raw bytes and reads until the server closes.
    asio::awaitable<std::string> sendRaw(std::string bytes)
    {
        asio::ip::tcp::socket socket(this->context);
        asio::ip::tcp::endpoint peer(asio::ip::make_address(this->endpoint.address), this->endpoint.port);
        co_await socket.async_connect(peer, asio::use_awaitable);
        co_await asio::async_write(socket, asio::buffer(bytes), asio::use_awaitable);
        std::string answer;
        boost::system::error_code ignored;
        co_await asio::async_read(
            socket, asio::dynamic_buffer(answer), asio::redirect_error(asio::use_awaitable, ignored));
        co_return answer;
    }

    asio::io_context context;
    std::atomic<bool> isDisconnected = false;
    HttpServer server;
    Endpoint endpoint;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(http, HttpFixture)

BOOST_AUTO_TEST_CASE(whole_response_with_query_and_body)
{
    this->run([&]() -> asio::awaitable<void> {
        HttpClient client(this->context.get_executor(), this->endpoint);
        for (int round = 0; round < 3; ++round) {
            auto result = co_await client.send(makeRequest("POST", "/x?q=a%20b", "body"), 5s);
            BOOST_REQUIRE(std::holds_alternative<HttpResponse>(result));
            BOOST_TEST(std::get<HttpResponse>(result).body == "POST a b body");
        }
    });
}

BOOST_AUTO_TEST_CASE(stream_is_read_to_its_end)
{
    this->run([&]() -> asio::awaitable<void> {
        HttpClient client(this->context.get_executor(), this->endpoint);
        auto opened = co_await client.open(makeRequest("GET", "/stream"), 5s);
        BOOST_REQUIRE(opened.index() == 0);
        auto stream = std::move(std::get<0>(opened));
        BOOST_TEST(stream->head().contentType == "text/event-stream");
        std::string all;
        while (true) {
            auto part = std::get<std::string>(co_await stream->read(5s));
            if (part.empty())
                break;
            all += part;
        }
        BOOST_TEST(all == "onetwo");
    });
}

BOOST_AUTO_TEST_CASE(limits_and_malformed_requests_get_their_status)
{
    this->run([&]() -> asio::awaitable<void> {
        HttpClient client(this->context.get_executor(), this->endpoint);
        auto large = co_await client.send(makeRequest("POST", "/", std::string(2000, 'x')), 5s);
        BOOST_TEST(std::get<HttpResponse>(large).status == 413);
        auto withLongField = makeRequest("GET", "/");
        withLongField.fields.push_back(HttpField { "X-Long", std::string(5000, 'x') });
        auto longField = co_await client.send(std::move(withLongField), 5s);
        BOOST_TEST(std::get<HttpResponse>(longField).status == 431);
        auto malformed = co_await this->sendRaw("NONSENSE\r\n\r\n");
        BOOST_TEST(malformed.substr(0, 12) == "HTTP/1.1 400");
        auto slow = co_await this->sendRaw("GET / HTTP/1.1\r\n");
        BOOST_TEST(slow.substr(0, 12) == "HTTP/1.1 408");
    });
}

// Guards against a route that is not found for a target that names its host.
BOOST_AUTO_TEST_CASE(target_in_absolute_form_is_that_of_its_path)
{
    this->run([&]() -> asio::awaitable<void> {
        for (std::string target : { "http://site.example/x?q=7", "HTTP://site.example:80/x?q=7" }) {
            std::string answer = co_await this->sendRaw(
                "GET " + target + " HTTP/1.1\r\nHost: other\r\nConnection: close\r\n\r\n");
            BOOST_TEST(answer.ends_with("GET 7 "), answer);
        }
        std::string answer = co_await this->sendRaw(
            "GET http://site.example?q=7 HTTP/1.1\r\nHost: other\r\nConnection: close\r\n\r\n");
        BOOST_TEST(answer.ends_with("GET 7 "), answer);
    });
}

// Guards against bytes behind the answer to HEAD, which a client takes for the beginning of its next answer.
BOOST_AUTO_TEST_CASE(answers_to_head_have_no_body)
{
    this->run([&]() -> asio::awaitable<void> {
        for (std::string path : { "/x", "/stream" }) {
            std::string both = co_await this->sendRaw(
                "HEAD " + path + " HTTP/1.1\r\n\r\nGET " + path + " HTTP/1.1\r\nConnection: close\r\n\r\n");
            std::string behind = both.substr(both.find("\r\n\r\n") + 4);
            BOOST_TEST(behind.starts_with("HTTP/1.1 200"), path << ": " << both);
            BOOST_TEST(behind.find("\r\n\r\n") + 4 < behind.size());
        }
        for (std::string refused : { "Content-Length: 5000", "Transfer-Encoding: unknown" }) {
            std::string answer = co_await this->sendRaw("HEAD /x HTTP/1.1\r\n" + refused + "\r\n\r\n");
            BOOST_TEST(answer.starts_with("HTTP/1.1 4"), answer);
            BOOST_TEST(answer.ends_with("\r\n\r\n"), answer);
        }
    });
}

// Guards against a connection that ends without an answer for a status that has no body.
BOOST_AUTO_TEST_CASE(answer_with_a_status_without_a_body_ends_with_its_header)
{
    this->run([&]() -> asio::awaitable<void> {
        std::string both = co_await this->sendRaw(
            "GET /nothing HTTP/1.1\r\n\r\nGET /x HTTP/1.1\r\nConnection: close\r\n\r\n");
        BOOST_TEST(both.starts_with("HTTP/1.1 204"), both);
        BOOST_TEST(both.substr(both.find("\r\n\r\n") + 4).starts_with("HTTP/1.1 200"), both);
        BOOST_TEST(both.find("Content-Length") > both.find("\r\n\r\n"), both);
    });
}

BOOST_AUTO_TEST_CASE(handler_is_notified_when_the_client_disconnects)
{
    this->run([&]() -> asio::awaitable<void> {
        HttpClient client(this->context.get_executor(), this->endpoint);
        auto result = co_await client.send(makeRequest("GET", "/wait"), 50ms);
        BOOST_TEST((std::get<NetError>(result).kind == NetErrorKind::TimedOut));
        asio::steady_timer pause(this->context);
        for (int tries = 0; tries < 1000 && !this->isDisconnected; ++tries) {
            pause.expires_after(5ms);
            co_await pause.async_wait(asio::use_awaitable);
        }
        BOOST_TEST(this->isDisconnected);
    });
}

BOOST_AUTO_TEST_CASE(waiting_client_is_not_taken_for_disconnected)
{
    // The client has its own thread: the body must arrive while the server is processing the head.
    std::size_t answered = 0;
    auto work = asio::make_work_guard(this->context);
    std::thread client([&] {
        std::string head = "POST /pause HTTP/1.1\r\nConnection: close\r\nContent-Length: 4\r\n\r\n";
        for (std::size_t round = 0; round < SplitRequests; ++round)
            answered += this->sendInTwo(head, "body") == "HTTP/1.1 200";
        this->context.stop();
    });
    // Several threads, as in an entry: one may be notified of bytes that another has already read.
    std::thread second([&] { this->context.run(); });
    this->context.run();
    second.join();
    client.join();
    BOOST_TEST(answered == SplitRequests);
    BOOST_TEST(!this->isDisconnected);
}

BOOST_AUTO_TEST_CASE(responses_that_end_with_their_connection_are_accepted_only_if_the_client_allows_them)
{
    this->run([&]() -> asio::awaitable<void> {
        const std::string bytes = "HTTP/1.1 200 OK\r\n\r\nwhole or part";
        ScriptedServer scripted(this->context, { bytes });
        HttpClient any(this->context.get_executor(), scripted.endpoint());
        auto accepted = co_await any.send(makeRequest("GET", "/"), 5s);
        BOOST_TEST(std::get<HttpResponse>(accepted).body == "whole or part");
        ScriptedServer second(this->context, { bytes });
        HttpClient marked(this->context.get_executor(), second.endpoint(), ResponseEnd::Marked);
        auto refused = co_await marked.send(makeRequest("GET", "/"), 5s);
        BOOST_REQUIRE(std::holds_alternative<NetError>(refused));
        BOOST_TEST((std::get<NetError>(refused).kind == NetErrorKind::Closed));
        BOOST_TEST(std::get<NetError>(refused).mayHaveArrived);
    });
}

BOOST_AUTO_TEST_CASE(status_outside_the_protocol_is_an_error_of_the_response)
{
    this->run([&]() -> asio::awaitable<void> {
        for (const char* status : { "000", "101", "700" }) {
            ScriptedServer scripted(this->context,
                { "HTTP/1.1 " + std::string { status } + " Status\r\nContent-Length: 2\r\n\r\nno" });
            HttpClient client(this->context.get_executor(), scripted.endpoint());
            auto refused = co_await client.send(makeRequest("GET", "/"), 5s);
            BOOST_REQUIRE_MESSAGE(std::holds_alternative<NetError>(refused), status);
            BOOST_TEST(std::get<NetError>(refused).mayHaveArrived);
        }
    });
}

BOOST_AUTO_TEST_CASE(refused_connection_is_reported_as_not_arrived)
{
    this->run([&]() -> asio::awaitable<void> {
        Endpoint unused { "127.0.0.1", 1 };
        HttpClient client(this->context.get_executor(), unused);
        auto result = co_await client.send(makeRequest("GET", "/"), 5s);
        BOOST_TEST((std::get<NetError>(result).kind == NetErrorKind::ConnectFailed));
        BOOST_TEST(!std::get<NetError>(result).mayHaveArrived);
    });
}

BOOST_AUTO_TEST_SUITE_END()
