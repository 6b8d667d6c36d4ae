// Tests of LogClient and LogTail against a scripted server: lost responses, refusals, gaps and outages.
#include "peridotgrade/net/http_server.h"
#include "peridotgrade/services/log_tail.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/test/unit_test.hpp>

#include <deque>

using namespace peridotgrade;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

constexpr auto OneRecordPage = R"({"oldest":7,"next":8,"records":[{"offset":7,"time_ms":1,"data":"seven"}]})";

/// A log server that sends prepared responses in order; status 0 stands for no response at all.
class LogFixture : public LogTailListener {
public:
    LogFixture()
        : server(this->context.get_executor(), makeSettings(),
            [this](HttpExchange& exchange) { return this->serve(exchange); })
    {
        this->endpoint = std::get<Endpoint>(this->server.start());
    }

    void onLogRecords(std::vector<LogRecord> records) override
    {
        for (const LogRecord& record : records)
            this->seen.push_back("record " + record.data);
    }
    void onLogCaughtUp(LogOffset, LogOffset next, TimePoint) override
    {
        this->seen.push_back("caught up " + std::to_string(next.raw()));
    }
    void onLogGap(LogOffset oldest) override { this->seen.push_back("gap " + std::to_string(oldest.raw())); }
    void onLogAvailability(bool isAvailable) override
    {
        this->seen.push_back(isAvailable ? "available" : "unavailable");
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

    void prepare(std::uint16_t status, std::string body)
    {
        HttpResponse response;
        response.status = status;
        response.body = std::move(body);
        this->prepared.push_back(std::move(response));
    }

    asio::io_context context;
    HttpServer server;
    Endpoint endpoint;
    std::deque<HttpResponse> prepared;
    std::vector<std::string> targets;
    std::vector<std::string> seen;

private:
    static HttpServerSettings makeSettings()
    {
        HttpServerSettings settings;
        settings.listen = { "127.0.0.1", 0 };
        return settings;
    }

    static asio::awaitable<void> withholdResponse(HttpExchange& exchange)
    {
        asio::steady_timer forever(exchange.executor(), 1h);
        exchange.onClientDisconnect([&] { forever.cancel(); });
        boost::system::error_code ignored;
        co_await forever.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    asio::awaitable<void> serve(HttpExchange& exchange)
    {
        this->targets.push_back(exchange.request().target);
        if (this->prepared.empty()) {
            HttpResponse outage;
            outage.status = 503;
            co_await exchange.respond(std::move(outage));
            co_return;
        }
        HttpResponse response = std::move(this->prepared.front());
        this->prepared.pop_front();
        if (response.status == 0)
            co_await withholdResponse(exchange);
        co_await exchange.respond(std::move(response));
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(log_client, LogFixture)

BOOST_AUTO_TEST_CASE(append_distinguishes_refused_from_unknown)
{
    this->prepare(200, R"({"first_offset":12})");
    this->prepare(429, "{}");
    this->prepare(503, "{}");
    this->prepare(0, "");
    this->prepare(200, "nonsense");
    this->run([&]() -> asio::awaitable<void> {
        LogClient client(this->context.get_executor(), this->endpoint);
        std::vector<std::string> records { "a" };
        auto appended = co_await client.append("s", records, 5s);
        BOOST_TEST((std::get<LogOffset>(appended) == LogOffset { 12 }));
        for (LogErrorKind expected : { LogErrorKind::Refused, LogErrorKind::Refused, LogErrorKind::Unknown,
                 LogErrorKind::Malformed }) {
            auto timeout = expected == LogErrorKind::Unknown ? 50ms : 5000ms;
            auto result = co_await client.append("s", records, timeout);
            BOOST_TEST(nameOf(std::get<LogError>(result).kind) == nameOf(expected));
        }
        BOOST_TEST(this->targets.size() == 5u);
        Endpoint closedPort { "127.0.0.1", 1 };
        LogClient unconnected(this->context.get_executor(), closedPort);
        auto result = co_await unconnected.append("s", records, 5s);
        BOOST_TEST(nameOf(std::get<LogError>(result).kind) == nameOf(LogErrorKind::Refused));
    });
}

BOOST_AUTO_TEST_CASE(tail_continues_after_a_gap_and_an_outage)
{
    this->prepare(410, R"({"oldest":7,"next":8})");
    this->prepare(200, OneRecordPage);
    this->prepare(503, "{}");
    this->prepare(200,
        R"({"oldest":7,"next":9,"records":[{"offset":7,"time_ms":1,"data":"seven"},)"
        R"({"offset":8,"time_ms":1,"data":"eight"}]})");
    this->run([&]() -> asio::awaitable<void> {
        LogTail tail(this->context.get_executor(), this->endpoint, "s", LogOffset { 3 }, 1, *this);
        tail.start();
        asio::steady_timer pause(this->context);
        for (int tries = 0; tries < 2000 && this->seen.size() < 8; ++tries) {
            pause.expires_after(2ms);
            co_await pause.async_wait(asio::use_awaitable);
        }
        tail.stop();
    });
    std::vector<std::string> expected { "available", "gap 7", "record seven", "caught up 8", "unavailable",
        "available", "record eight", "caught up 9" };
    this->seen.resize(std::min(this->seen.size(), expected.size()));
    BOOST_TEST(this->seen == expected, boost::test_tools::per_element());
    BOOST_TEST(this->targets.at(0).find("from=3") != std::string::npos);
    BOOST_TEST(this->targets.at(1).find("from=7") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
