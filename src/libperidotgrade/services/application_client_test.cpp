// Tests of ApplicationClient against scripted answers.
#include "peridotgrade/services/application_client.h"

#include "../net/test_support/scripted_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <optional>
#include <utility>

using namespace peridotgrade;
using namespace std::chrono_literals;

namespace {

struct EndedCall {
    ApplicationCallResult result;
    ApplicationAnswer answer;
    int requests = 0;
};

/// Calls a server that sends `bytes` and then ends the connection in an orderly way.
std::optional<EndedCall> callServerThatSends(
    const std::string& bytes, const std::string& method, bool isRepeatable)
{
    asio::io_context context;
    ScriptedServer server(context, { bytes });
    std::optional<EndedCall> ended;
    ApplicationClient client(context.get_executor(), server.endpoint(),
        [&](ApplicationCallId, ApplicationCallResult result, ApplicationAnswer answer) {
            ended = EndedCall { result, std::move(answer) };
            context.stop();
        });
    CallApplication call;
    call.call.method = method;
    call.call.target = "/orders";
    call.isRepeatable = isRepeatable;
    call.timeout = 2000ms;
    client.call(std::move(call));
    context.run_for(5s);
    if (ended)
        ended->requests = static_cast<int>(server.heads.size());
    return ended;
}

constexpr auto Calls = std::to_array<std::pair<const char*, bool>>({ { "POST", false }, { "GET", true } });

} // namespace

BOOST_AUTO_TEST_SUITE(application_client)

BOOST_AUTO_TEST_CASE(answers_that_only_the_end_of_the_connection_marks_are_lost)
{
    for (const auto& [method, isRepeatable] : Calls) {
        for (const std::string head : { "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\n",
                 "HTTP/1.1 500 Internal Server Error\r\nConnection: close\r\n\r\n" }) {
            for (const std::string body : { "", "a part", R"({"id":7})" }) {
                auto ended = callServerThatSends(head + body, method, isRepeatable);
                BOOST_REQUIRE(ended.has_value());
                BOOST_TEST((ended->result == ApplicationCallResult::Lost));
                BOOST_TEST(ended->answer.body == "");
                BOOST_TEST(ended->requests == 1);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(truncated_answers_are_lost)
{
    for (const auto& [method, isRepeatable] : Calls) {
        for (const std::string answer : { "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\na part",
                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\na part\r\n" }) {
            auto ended = callServerThatSends(answer, method, isRepeatable);
            BOOST_REQUIRE(ended.has_value());
            BOOST_TEST((ended->result == ApplicationCallResult::Lost));
        }
    }
}

BOOST_AUTO_TEST_CASE(answers_with_a_marked_end_are_complete_although_the_connection_ends)
{
    for (const auto& [method, isRepeatable] : Calls) {
        for (const auto& [answer, body] : std::to_array<std::pair<std::string, std::string>>({
                 { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", "whole" },
                 { "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nwhole", "whole" },
                 { "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", "" },
                 { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", "whole" },
                 { "HTTP/1.1 204 No Content\r\n\r\n", "" },
             })) {
            auto ended = callServerThatSends(answer, method, isRepeatable);
            BOOST_REQUIRE(ended.has_value());
            BOOST_TEST((ended->result == ApplicationCallResult::Answered));
            BOOST_TEST(ended->answer.body == body);
        }
    }
    auto ended = callServerThatSends("HTTP/1.1 200 OK\r\n\r\n", "HEAD", true);
    BOOST_REQUIRE(ended.has_value());
    BOOST_TEST((ended->result == ApplicationCallResult::Answered));
}

BOOST_AUTO_TEST_SUITE_END()
