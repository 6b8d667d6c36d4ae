// Tests of the page of quarantined requests.
#include "peridotgrade/gateway/quarantine_page.h"

#include <boost/test/unit_test.hpp>

using namespace peridotgrade;
using namespace std::chrono_literals;

namespace {

const Fingerprint Poison { 0xab };
const TimePoint Now { 100s };

struct Fixture {
    Fixture()
    {
        crashes.apply({ { Poison, { "i-1", 1 } }, { Poison, { "i-2", 1 } }, { Poison, { "i-3", 1 } } }, Now);
    }

    HttpResponse call(const std::string& method, const std::string& target)
    {
        HttpRequest request;
        request.method = method;
        request.target = target;
        return answerQuarantinePage(request, crashes, Now + 600s);
    }

    CrashRegistry crashes;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(QuarantinePageTest, Fixture)

BOOST_AUTO_TEST_CASE(listsWhatIsHeldAndReleasesIt)
{
    std::string expected
        = R"({"quarantined":[{"content":"00000000000000ab","servers":["i-1","i-2","i-3"],"held_s":3000}],"probation":[]})";
    BOOST_TEST(call("GET", "/quarantine").body == expected);
    BOOST_TEST(call("DELETE", "/quarantine/00000000000000ab").status == 200);
    BOOST_TEST(!crashes.isQuarantined(Poison));
    BOOST_TEST(call("GET", "/quarantine").body == R"({"quarantined":[],"probation":[]})");
}

BOOST_AUTO_TEST_CASE(listsAndReleasesPartsOfPrompts)
{
    const Suspect part { Fingerprint { 0xcd }, SuspectKind::PromptPart };
    crashes.release(Poison);
    for (std::uint64_t number = 1; number <= 4; ++number) {
        ServerCrash crash { "i-" + std::to_string(number), 1 };
        crashes.apply({ { part, crash, Fingerprint { number } } }, Now + 300s);
    }
    std::string expected
        = R"({"quarantined":[{"content":"part-00000000000000cd","servers":["i-1","i-2","i-3","i-4"],"held_s":300}],"probation":[]})";
    BOOST_TEST(call("GET", "/quarantine").body == expected);
    BOOST_TEST(call("DELETE", "/quarantine/00000000000000cd").status == 404);
    BOOST_TEST(call("DELETE", "/quarantine/part-00000000000000cd").status == 200);
    BOOST_TEST(!crashes.isQuarantined(part));
}

BOOST_AUTO_TEST_CASE(wrongCallsChangeNothing)
{
    BOOST_TEST(call("DELETE", "/quarantine/00000000000000ac").status == 404);
    BOOST_TEST(call("DELETE", "/quarantine").status == 404);
    BOOST_TEST(call("POST", "/quarantine").status == 405);
    BOOST_TEST(call("GET", "/quarantine/00000000000000ab").status == 405);
    BOOST_TEST(crashes.isQuarantined(Poison));
}

BOOST_AUTO_TEST_SUITE_END()
