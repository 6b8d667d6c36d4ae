// Tests of parsing callers' requests and of the responses to them.
#include "peridotgrade/callers/api_error.h"
#include "peridotgrade/callers/call_path.h"
#include "peridotgrade/callers/completion_request.h"
#include "peridotgrade/callers/completion_writer.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

using namespace peridotgrade;

namespace {

constexpr std::uint32_t TokensLimit = 100;
const std::string Key = "0190a5c8-7d1e-7abc-9def-0123456789ab";

std::string paramOf(CompletionShape shape, std::string_view body)
{
    auto result = parseCompletion(shape, body, TokensLimit);
    BOOST_REQUIRE(std::holds_alternative<ApiError>(result));
    BOOST_CHECK_EQUAL(std::get<ApiError>(result).status, 400);
    BOOST_CHECK(std::get<ApiError>(result).outcome == Outcome::NotRun);
    return std::get<ApiError>(result).param;
}

HttpRequest callOf(std::string method, std::string target, std::string key)
{
    HttpRequest request;
    request.method = std::move(method);
    request.target = std::move(target);
    request.fields = { { "Authorization", "Bearer secret" }, { "X-Custom", "kept" },
        { "idempotency-key", std::move(key) } };
    return request;
}

} // namespace

BOOST_AUTO_TEST_CASE(errorNamesTheInvalidFieldOfACompletion)
{
    BOOST_CHECK_EQUAL(paramOf(CompletionShape::Text, R"({"prompt":"p"})"), "model");
    BOOST_CHECK_EQUAL(paramOf(CompletionShape::Text, R"({"model":"m"})"), "prompt");
    BOOST_CHECK_EQUAL(paramOf(CompletionShape::Text, R"({"model":"m","prompt":["a","b"]})"), "prompt");
    BOOST_CHECK_EQUAL(
        paramOf(CompletionShape::Text, R"({"model":"m","prompt":"p","max_tokens":0})"), "max_tokens");
    BOOST_CHECK_EQUAL(
        paramOf(CompletionShape::Text, R"({"model":"m","prompt":"p","max_tokens":-1})"), "max_tokens");
    BOOST_CHECK_EQUAL(
        paramOf(CompletionShape::Text, R"({"model":"m","prompt":"p","max_tokens":101})"), "max_tokens");
    BOOST_CHECK_EQUAL(
        paramOf(CompletionShape::Text, R"({"model":"m","prompt":"p","stream":"yes"})"), "stream");
    BOOST_CHECK_EQUAL(paramOf(CompletionShape::Text, R"({"model":"m","prompt":"p","n":2})"), "n");
    BOOST_CHECK_EQUAL(
        paramOf(CompletionShape::Chat, R"({"model":"m","messages":[{"role":"user"}]})"), "messages");
    BOOST_CHECK_EQUAL(paramOf(CompletionShape::Text, "not json"), "");
    BOOST_CHECK_EQUAL(paramOf(CompletionShape::Text, std::string(1000, '[')), "");
}

BOOST_AUTO_TEST_CASE(streamedAndWholeAnswersHaveTheJsonOfTheCompletionApi)
{
    auto parsed
        = parseCompletion(CompletionShape::Text, R"({"model":"m","prompt":"p","stream":true})", TokensLimit);
    const auto& request = std::get<CompletionRequest>(parsed);
    BOOST_CHECK(request.isStreaming);
    CompletionWriter writer(request, RequestId { 0xab }, WallTime { std::chrono::seconds { 5 } });
    std::string event;
    writer.appendEvent(event, "a \"quoted\"\n\xc4\x8d");
    BOOST_REQUIRE(event.starts_with("data: ") && event.ends_with("\n\n"));
    auto json = boost::json::parse(event.substr(6));
    BOOST_CHECK_EQUAL(json.at("id").as_string(), "cmpl-00000000000000ab");
    BOOST_CHECK_EQUAL(json.at("choices").at(0).at("text").as_string(), "a \"quoted\"\n\xc4\x8d");
    BOOST_CHECK(json.at("choices").at(0).at("finish_reason").is_null());
    auto wholeBody
        = boost::json::parse(writer.wholeBody("text", AnswerSummary { FinishReason::Length, 3, 4 }));
    BOOST_CHECK_EQUAL(wholeBody.at("choices").at(0).at("finish_reason").as_string(), "length");
    BOOST_CHECK_EQUAL(wholeBody.at("usage").at("total_tokens").to_number<int>(), 7);
}

BOOST_AUTO_TEST_CASE(retryAfterIsRoundedUpAndSentOnlyIfTheRequestWasNotRun)
{
    Refusal refusal { RefusalReason::NoCapacity, Outcome::NotRun, std::chrono::milliseconds { 1001 } };
    HttpResponse response = errorResponse(apiErrorFrom(refusal), "id");
    BOOST_CHECK_EQUAL(response.status, 503);
    BOOST_CHECK_EQUAL(response.field("Retry-After"), "2");
    BOOST_CHECK_EQUAL(response.field(OutcomeFieldName), "not-run");
    BOOST_CHECK_EQUAL(
        boost::json::parse(response.body).at("error").at("retry_after_ms").to_number<int>(), 1001);

    refusal.outcome = Outcome::Unknown;
    response = errorResponse(apiErrorFrom(refusal), "id");
    BOOST_CHECK_EQUAL(response.status, 502);
    BOOST_CHECK(response.field("Retry-After").empty());
    BOOST_CHECK_EQUAL(response.field(OutcomeFieldName), "unknown");
}

BOOST_AUTO_TEST_CASE(paramOfAnErrorBodyIsAStringOrNull)
{
    auto named = boost::json::parse(errorBody(invalidRequest("message", "model")));
    BOOST_CHECK(named.at("error").at("param") == "model");
    auto unnamed = boost::json::parse(errorBody(invalidRequest("message")));
    BOOST_CHECK(unnamed.at("error").at("param").is_null());
}

BOOST_AUTO_TEST_CASE(actionsNeedATimeOrderedKeyAndReadsIgnoreTheKey)
{
    auto action = parseCall(callOf("POST", "/apps/care-app/accounts/7?x=1", Key));
    BOOST_REQUIRE(std::holds_alternative<CallPath>(action));
    const auto& path = std::get<CallPath>(action);
    BOOST_CHECK_EQUAL(path.service.raw(), "care-app");
    BOOST_CHECK_EQUAL(path.call.target, "/accounts/7?x=1");
    BOOST_CHECK_EQUAL(path.key.raw(), Key);
    BOOST_REQUIRE_EQUAL(path.call.headers.size(), 1u);
    BOOST_CHECK_EQUAL(path.call.headers[0].name, "X-Custom");

    auto read = parseCall(callOf("GET", "/apps/care-app", Key));
    BOOST_CHECK_EQUAL(std::get<CallPath>(read).key.raw(), "");
    BOOST_CHECK_EQUAL(std::get<CallPath>(read).call.target, "/");

    std::string version4 = Key;
    version4[14] = '4';
    for (const std::string& bad : { std::string {}, std::string { "7" }, version4, Key + "0" })
        BOOST_CHECK(std::holds_alternative<ApiError>(parseCall(callOf("DELETE", "/apps/care-app/a", bad))));
    BOOST_CHECK(std::holds_alternative<ApiError>(parseCall(callOf("GET", "/apps/", Key))));
}
