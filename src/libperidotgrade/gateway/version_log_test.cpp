// Tests of VersionLog against scripted answers of the store.
#include "peridotgrade/gateway/version_log.h"

#include "peridotgrade/gateway/gateway_state.h"
#include "platform/wire_names.h"
#include "src/libperidotgrade/net/test_support/scripted_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <deque>
#include <functional>
#include <string>
#include <vector>

using namespace peridotgrade;
using namespace std::chrono_literals;

namespace {

const ServiceId Service { "s" };
const SoftwareVersion First { "v1" };
const SoftwareVersion Second { "v2" };

std::string answer(const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

const std::string EmptyTopic = answer(R"({"items":[],"end":0})");
// The key is `v1`, a line feed and `s`; the value is `n` in base64.
const std::string TopicWithFirst = answer(R"({"items":[{"key":"v1\ns","value":"bg==","offset":0}],"end":1})");
const std::string Appended = answer(R"({"offset":0,"end":1})");

ListedServer listed(const std::string& id, const SoftwareVersion& version, std::uint64_t offset)
{
    ServerRecord record;
    record.id = ServerId { id };
    record.service = Service;
    record.address = "127.0.0.1:1";
    record.softwareVersion = version;
    return { record.id, LogOffset { offset }, record };
}

struct Fixture {
    /// Runs for a second; `check` is called at its end.
    void run(std::deque<std::string> answers, std::vector<ListedServer> servers,
        const std::function<void(GatewayState&, VersionLog&)>& check)
    {
        GatewaySettings settings;
        settings.logLevel = LogLevel::Error;
        GatewayState state(this->context.get_executor(), settings, this->registry, 1);
        ScriptedServer server(this->context, std::move(answers));
        StoreClient store(this->context.get_executor(), server.endpoint());
        VersionLog log(state, store);
        log.start();
        state.onDirectoryChanges(state.directory.apply(servers, state.now()));
        state.noteServersRead(TimerDriver::bootNow());
        this->context.run_for(1000ms);
        for (const std::string& head : server.heads)
            this->targets.push_back(head.substr(0, head.find(" HTTP")));
        check(state, log);
    }

    asio::io_context context;
    MetricsRegistry registry;
    std::vector<std::string> targets;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(VersionLogTest, Fixture)

BOOST_AUTO_TEST_CASE(firstVersionsAreRecordedAtOnceOnlyWhileTheTopicIsUnused)
{
    this->run({ EmptyTopic, Appended }, { listed("i", First, 0) }, [](GatewayState& state, VersionLog& log) {
        BOOST_TEST(log.isStarted());
        BOOST_TEST(state.versions[Service].isRecorded(First));
        BOOST_TEST(state.onlyVersion(Service)->raw() == "v1");
    });
    BOOST_REQUIRE(this->targets.size() == 2U);
    BOOST_TEST(this->targets[0].starts_with(
        "GET " + std::string { wire_names::NewestPath } + "?topic=keyed.peridotgrade.versions"));
    BOOST_TEST(this->targets[1].ends_with("as_of=0"));
}

BOOST_AUTO_TEST_CASE(versionOfARecordThatNoListShowsForbidsToAssumeTheListedOne)
{
    this->run({ TopicWithFirst }, { listed("i", Second, 0) }, [](GatewayState& state, VersionLog&) {
        BOOST_TEST(!state.versions[Service].isRecorded(Second));
        BOOST_TEST(!state.onlyVersion(Service).has_value());
    });
    BOOST_TEST(this->targets.size() == 1U);
}

BOOST_AUTO_TEST_CASE(nothingIsAssumedBeforeTheRecordsAreRead)
{
    this->run({}, { listed("i", First, 0) }, [](GatewayState& state, VersionLog& log) {
        BOOST_TEST(!log.isStarted());
        BOOST_TEST(!state.onlyVersion(Service).has_value());
    });
}

BOOST_AUTO_TEST_CASE(nothingIsAssumedWithAnOldListOrAfterAGapInIt)
{
    this->run({ TopicWithFirst }, { listed("i", First, 0) }, [](GatewayState& state, VersionLog&) {
        BOOST_TEST(state.onlyVersion(Service).has_value());
        TimePoint readAt = state.serversAskedAt;
        state.serversAskedAt = TimerDriver::bootNow() - VersionHistory::MaxListAge - 1ms;
        BOOST_TEST(!state.onlyVersion(Service).has_value());
        state.noteServersRead(TimerDriver::bootNow());
        BOOST_TEST(!state.areVersionsKnown);
        state.areVersionsKnown = true;
        state.serversAskedAt = readAt;
        state.onServersListed();
        BOOST_TEST(!state.onlyVersion(Service).has_value());
    });
}

BOOST_AUTO_TEST_SUITE_END()
