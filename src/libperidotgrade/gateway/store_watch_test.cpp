// Tests of StoreWatch against scripted answers.
#include "peridotgrade/gateway/store_watch.h"

#include "peridotgrade/gateway/gateway_state.h"
#include "platform/wire_names.h"
#include "src/libperidotgrade/net/test_support/scripted_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

using namespace peridotgrade;
using namespace std::chrono_literals;

namespace {

std::string bigEndian(std::uint64_t value, int bytes)
{
    std::string result;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
        result.push_back(static_cast<char>(value >> shift));
    return result;
}

std::string answer(const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A topic that ends at `end`.
std::string listing(std::uint64_t end) { return answer(R"({"items":[],"end":)" + std::to_string(end) + "}"); }

/// The answer to a read, with `count` records.
std::string batch(std::uint64_t end, int count)
{
    std::string body = bigEndian(end, 8) + bigEndian(0, 8);
    for (int index = 0; index < count; ++index)
        body += bigEndian(6, 4) + bigEndian(3, 1) + "key{}";
    return answer(body);
}

/// Follows a topic that is read every second, for less than two.
struct Fixture {
    void follow(std::deque<std::string> answers)
    {
        GatewaySettings settings;
        settings.logLevel = LogLevel::Error;
        GatewayState state(this->context.get_executor(), settings, this->registry, 1);
        ScriptedServer server(this->context, std::move(answers));
        StoreClient store(this->context.get_executor(), server.endpoint());
        StoreWatch::Callbacks callbacks { [](const StoreListing&) {},
            [this](const std::vector<StoreRecord>& read) { this->records += read.size(); }, [] {}, [] {},
            [] {}, [this](TimePoint) { this->currentAfter.push_back(this->records); } };
        StoreWatch watch(state, store, { "keyed.t", 0ms, 1000ms }, std::move(callbacks));
        asio::co_spawn(this->context, watch.run(), asio::detached);
        this->context.run_for(1800ms);
        for (const std::string& head : server.heads)
            this->targets.push_back(head.substr(0, head.find(" HTTP")));
    }

    asio::io_context context;
    MetricsRegistry registry;
    std::size_t records = 0;
    /// Records that had been received each time the topic was reported up to date.
    std::vector<std::size_t> currentAfter;
    std::vector<std::string> targets;
};

const std::string Newest = "GET " + std::string { wire_names::NewestPath } + "?topic=keyed.t&part=0";
const std::string ReadFrom = "GET " + std::string { wire_names::ReadPath } + "?topic=keyed.t&part=0&from=";

} // namespace

BOOST_FIXTURE_TEST_SUITE(StoreWatchTest, Fixture)

BOOST_AUTO_TEST_CASE(answerCutBeforeItsFirstRecordIsNotTakenForAnUpToDateTopic)
{
    this->follow({ listing(2), batch(4, 0), listing(4), batch(4, 0) });
    const std::vector<std::string> expected { Newest, ReadFrom + "2", Newest };
    BOOST_TEST(this->targets == expected, boost::test_tools::per_element());
    // One for each listing.
    BOOST_TEST(this->currentAfter.size() == 2U);
}

BOOST_AUTO_TEST_CASE(answerCutBetweenTwoRecordsIsReadOnAtOnce)
{
    this->follow({ listing(2), batch(4, 1), batch(4, 1) });
    const std::vector<std::string> expected { Newest, ReadFrom + "2", ReadFrom + "3" };
    BOOST_TEST(this->targets == expected, boost::test_tools::per_element());
    // By the listing and by the second answer, whose record follows.
    const std::vector<std::size_t> expectedRecords { 0, 1 };
    BOOST_TEST(this->currentAfter == expectedRecords, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
