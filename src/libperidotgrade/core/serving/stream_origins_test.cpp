// Tests of the origins of streams and of the history of software versions.
#include "peridotgrade/core/serving/stream_origins.h"

#include "peridotgrade/core/serving/version_history.h"

#include <boost/test/unit_test.hpp>

using namespace peridotgrade;
using namespace std::chrono_literals;

namespace {

const ServiceId Service { "s" };
const ServiceId OtherService { "t" };
const StreamOrigin First { Service, SoftwareVersion { "v1" } };
const StreamOrigin Second { OtherService, SoftwareVersion { "v2" } };
const TimePoint Now { 100s };

std::vector<std::string> takenFrom(StreamOrigins& origins, const ServiceId& service)
{
    std::vector<std::string> attempts;
    for (const auto& record : origins.takeUnpublished([&](const ServiceId& each) { return each == service; }))
        attempts.push_back(record.attempt);
    return attempts;
}

} // namespace

BOOST_AUTO_TEST_SUITE(StreamOriginsTest)

BOOST_AUTO_TEST_CASE(ownStreamIsPublishedOnceAndFoundUntilItExpires)
{
    StreamOrigins origins;
    origins.noteBegun({ "a", First }, Now);
    origins.noteBegun({ "b", Second }, Now);
    BOOST_TEST(takenFrom(origins, Service) == std::vector<std::string> { "a" });
    BOOST_TEST(takenFrom(origins, Service).empty());
    BOOST_TEST(takenFrom(origins, OtherService) == std::vector<std::string> { "b" });
    BOOST_TEST(origins.find("a")->origin.version.raw() == "v1");
    origins.noteBegun({ "c", First }, Now + StreamOrigins::Lifetime);
    BOOST_TEST(!origins.find("a").has_value());
}

BOOST_AUTO_TEST_CASE(completeStreamIsNotPublishedAndStaysKnown)
{
    StreamOrigins origins;
    origins.noteBegun({ "a", First }, Now);
    origins.noteCompleted("a");
    BOOST_TEST(takenFrom(origins, Service).empty());
    BOOST_TEST(origins.find("a")->origin.version.raw() == "v1");
}

BOOST_AUTO_TEST_CASE(streamOfARouteWithSeveralServicesIsAlwaysPublished)
{
    StreamOrigins origins;
    origins.noteBegun({ "a", First }, Now, true);
    BOOST_TEST(takenFrom(origins, OtherService) == std::vector<std::string> { "a" });
}

BOOST_AUTO_TEST_CASE(streamsOfEqualRequestsAreFoundByTheirContent)
{
    StreamOrigins origins;
    Fingerprint content { 7 };
    origins.noteBegun({ "a", First, content }, Now);
    origins.notePublished({ "b", First, content }, Now);
    BOOST_TEST(origins.originsOf(content).size() == 1U);
    origins.notePublished({ "c", Second, content }, Now);
    BOOST_TEST(origins.originsOf(content).size() == 2U);
    BOOST_TEST(origins.originsOf(Fingerprint { 8 }).empty());
}

BOOST_AUTO_TEST_CASE(streamsArePublishedAgainAfterAFailureAndInANewEra)
{
    StreamOrigins origins;
    origins.noteBegun({ "a", First }, Now);
    origins.notePublished({ "x", Second }, Now);
    auto taken = origins.takeUnpublished([](const ServiceId&) { return true; });
    BOOST_REQUIRE(taken.size() == 1U);
    origins.returnUnpublished(taken);
    BOOST_TEST(takenFrom(origins, Service).size() == 1U);
    origins.republishAll();
    BOOST_TEST(takenFrom(origins, Service) == std::vector<std::string> { "a" });
    BOOST_TEST(takenFrom(origins, OtherService).empty());
}

BOOST_AUTO_TEST_CASE(publishedOriginNeverReplacesAnOwnOne)
{
    StreamOrigins origins;
    origins.noteBegun({ "a", First }, Now);
    origins.notePublished({ "a", Second }, Now);
    origins.notePublished({ "x", Second }, Now);
    BOOST_TEST(origins.find("a")->origin.version.raw() == "v1");
    BOOST_TEST(origins.find("x")->origin.service.raw() == "t");
}

BOOST_AUTO_TEST_CASE(memoryIsBounded)
{
    StreamOrigins origins;
    for (std::size_t number = 0; number <= StreamOrigins::MaxStreams; ++number)
        origins.notePublished({ std::to_string(number), First }, Now);
    BOOST_TEST(!origins.find("0").has_value());
    BOOST_TEST(origins.find("1").has_value());
    BOOST_TEST(origins.find(std::to_string(StreamOrigins::MaxStreams)).has_value());
}

BOOST_AUTO_TEST_CASE(streamsThatAreNeverPublishedDoNotAccumulate)
{
    StreamOrigins origins;
    for (int second = 0; second < 300; ++second) {
        std::string attempt = std::to_string(second);
        origins.noteBegun({ attempt, First }, Now + std::chrono::seconds { second });
        if (second % 2 == 0)
            origins.noteCompleted(attempt);
    }
    BOOST_TEST(origins.unpublishedStreams() <= StreamOrigins::Lifetime.count() + 1);
}

BOOST_AUTO_TEST_CASE(versionCountsUntilItsStreamsCannotBeResumed)
{
    VersionHistory history;
    BOOST_TEST(!history.onlyVersion(Now).has_value());
    SoftwareVersion former { "v1" };
    SoftwareVersion next { "v2" };
    history.update({ former }, Now);
    BOOST_TEST(history.onlyVersion(Now)->raw() == "v1");
    history.update({ former, next }, Now + 1s);
    BOOST_TEST(history.isMixed(Now + 1s));
    BOOST_TEST(!history.onlyVersion(Now + 1s).has_value());
    history.update({ next }, Now + 2s);
    BOOST_TEST(history.isMixed(Now + 2s + VersionHistory::Memory - 1ms));
    BOOST_TEST(history.onlyVersion(Now + 2s + VersionHistory::Memory)->raw() == "v2");
    TimePoint later = Now + 2s + VersionHistory::Memory + 10s;
    history.update({}, later);
    BOOST_TEST(history.onlyVersion(later + 1s)->raw() == "v2");
    BOOST_TEST(!history.onlyVersion(later + VersionHistory::Memory).has_value());
}

BOOST_AUTO_TEST_CASE(versionOnRecordCountsForAnEntryThatNeverSawItListed)
{
    VersionHistory history;
    history.setRecorded({ SoftwareVersion { "v1" } }, Now);
    history.update({ SoftwareVersion { "v2" } }, Now + 1s);
    BOOST_TEST(history.isMixed(Now + VersionHistory::Memory - 1ms));
    BOOST_TEST(history.onlyVersion(Now + VersionHistory::Memory)->raw() == "v2");
}

BOOST_AUTO_TEST_CASE(versionSettlesOnlyAfterEveryCurrentListShowsIt)
{
    VersionHistory history;
    SoftwareVersion version { "v1" };
    history.update({ version }, Now);
    BOOST_TEST(!history.isRecorded(version));
    BOOST_TEST(history.unrecorded().size() == 1U);
    TimePoint settledAt = Now + VersionHistory::SettleTime;
    BOOST_TEST((history.nextSettledAt() == settledAt));
    BOOST_TEST(history.settled(settledAt - 1ms).empty());
    BOOST_TEST(history.settled(settledAt).size() == 1U);
    // Entries that started meanwhile have not seen it before it was listed again.
    history.update({}, Now + 1s);
    history.update({ version }, Now + 2s);
    BOOST_TEST(history.settled(settledAt).empty());
    history.noteRecorded(version, settledAt);
    BOOST_TEST(history.isRecorded(version));
    BOOST_TEST(history.unrecorded().empty());
    history.setRecorded({}, settledAt);
    BOOST_TEST(!history.isRecorded(version));
}

BOOST_AUTO_TEST_SUITE_END()
