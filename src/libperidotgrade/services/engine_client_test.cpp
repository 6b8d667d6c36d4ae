// Tests of the engine client against a scripted engine: cancellations, broken streams, engine deaths.
#include "peridotgrade/services/engine_client.h"

#include "peridotgrade/net/http_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace peridotgrade;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

/// A fake engine whose prefills and token streams stay open until the test cancels `release`.
class ScriptedEngine {
public:
    explicit ScriptedEngine(asio::any_io_executor executor)
        : release(executor, asio::steady_timer::time_point::max())
        , server(executor, settings(), [this](HttpExchange& exchange) { return this->serve(exchange); })
        , endpoint(std::get<Endpoint>(this->server.start()))
    {
    }

    static HttpServerSettings settings()
    {
        HttpServerSettings result;
        result.listen = { "127.0.0.1", 0 };
        return result;
    }

    asio::awaitable<void> serve(HttpExchange& exchange)
    {
        std::string path { exchange.request().path() };
        HttpResponse response;
        response.body = "{}";
        if (path == "/v1/state")
            response.body = this->state();
        else if (exchange.request().method == "DELETE")
            ++this->cancels;
        else if (path == "/v1/prefill")
            co_return co_await this->servePrefill(exchange);
        else if (path == "/v1/decode")
            co_return co_await this->serveDecode(exchange);
        co_await exchange.respond(std::move(response));
    }

    std::string state() const
    {
        return R"({"incarnation":)" + std::to_string(this->incarnation)
            + R"(,"role":"mixed","models":[],"loading":[],"fence":0,"checks_fence":false,"places_total":4,)"
              R"("kv_tokens_total":4096,"kv_tokens_per_piece":16,"prefill_tokens_per_second":1000})";
    }

    asio::awaitable<void> waitForRelease()
    {
        boost::system::error_code ignored;
        co_await this->release.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    asio::awaitable<void> servePrefill(HttpExchange& exchange)
    {
        ++this->calls;
        co_await this->waitForRelease();
        HttpResponse response;
        response.status = 410;
        response.body = R"({"error":{"type":"cancelled"}})";
        co_await exchange.respond(std::move(response));
    }

    asio::awaitable<void> serveDecode(HttpExchange& exchange)
    {
        ++this->calls;
        HttpResponse head;
        head.contentType = "text/event-stream";
        head.body = "data: {\"index\":0,\"text\":\" abc\"}\n\n";
        co_await exchange.beginStream(std::move(head));
        co_await this->waitForRelease();
        exchange.abort();
    }

    std::uint64_t incarnation = 1;
    int cancels = 0;
    int calls = 0;
    asio::steady_timer release;
    HttpServer server;
    Endpoint endpoint;
};

struct EngineClientFixture {
    EngineClientFixture()
        : engine(context.get_executor())
        , client(context.get_executor(), this->settings(), this->handlers())
    {
        this->client.start();
        this->runUntil([this] { return this->count<EngineUp>() == 1; }, "the engine is not up");
    }

    EngineClientSettings settings() const
    {
        EngineClientSettings result;
        result.engine = this->engine.endpoint;
        // No periodic reads: after the first one, only a failed call causes a read of the state.
        result.stateInterval = 1h;
        return result;
    }

    EngineHandlers handlers()
    {
        EngineHandlers result;
        result.onEvent = [this](const EngineEvent& event) { this->events.push_back(event); };
        return result;
    }

    template <typename Condition> void runUntil(Condition condition, const char* what)
    {
        constexpr int MaxRounds = 2000;
        for (int round = 0; round < MaxRounds && !condition(); ++round)
            this->context.run_for(5ms);
        BOOST_REQUIRE_MESSAGE(condition(), what);
    }

    template <typename Event> long count() const
    {
        auto isEvent = [](const EngineEvent& event) { return std::holds_alternative<Event>(event); };
        return std::count_if(this->events.begin(), this->events.end(), isEvent);
    }

    void startDecode()
    {
        EngineDecode decode;
        decode.stream = EngineStreamId { "d" };
        decode.maxOutputTokens = 10;
        this->client.command(decode);
        this->runUntil([this] { return this->count<EngineTokens>() == 1; }, "first token not reported");
    }

    asio::io_context context;
    std::vector<EngineEvent> events;
    ScriptedEngine engine;
    EngineClient client;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(engine_client, EngineClientFixture)

BOOST_AUTO_TEST_CASE(cancellation_that_may_overtake_its_call_is_not_confirmed)
{
    EnginePrefill prefill;
    prefill.stream = EngineStreamId { "p" };
    this->client.command(prefill);
    this->client.command(EngineCancel { prefill.stream });
    this->runUntil([this] { return this->engine.calls == 1 && this->engine.cancels >= 1; },
        "prefill or cancellation missing");
    this->context.run_for(50ms);
    BOOST_TEST(this->count<EngineCancelled>() == 0);
    this->engine.release.cancel();
    this->runUntil(
        [this] { return this->count<EngineCancelled>() == 1; }, "cancellation not confirmed at the end");
    BOOST_TEST(this->engine.cancels >= 2);
    BOOST_TEST(this->count<EngineStreamFailed>() == 0);
}

BOOST_AUTO_TEST_CASE(engine_death_is_reported_before_any_stream_failure)
{
    this->startDecode();
    this->engine.incarnation = 2;
    this->engine.release.cancel();
    this->runUntil([this] { return this->count<EngineUp>() == 2; }, "new incarnation not reported");
    this->context.run_for(50ms);
    BOOST_TEST(this->count<EngineDied>() == 1);
    BOOST_TEST(this->count<EngineStreamFailed>() == 0);
}

BOOST_AUTO_TEST_CASE(stream_broken_within_one_incarnation_is_freed_before_it_fails)
{
    this->startDecode();
    this->engine.release.cancel();
    this->runUntil([this] { return this->count<EngineStreamFailed>() == 1; }, "the stream has not failed");
    BOOST_TEST(this->engine.cancels == 1);
    BOOST_TEST(this->count<EngineDied>() == 0);
}

BOOST_AUTO_TEST_CASE(running_stream_is_cancelled_at_once)
{
    this->startDecode();
    this->client.command(EngineCancel { EngineStreamId { "d" } });
    this->runUntil([this] { return this->count<EngineCancelled>() == 1; }, "cancellation not confirmed");
    this->context.run_for(50ms);
    BOOST_TEST(this->count<EngineStreamFailed>() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
