// The log client's JSON format and HTTP requests.
#include "peridotgrade/services/log_client.h"

#include "peridotgrade/net/http_client.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <optional>
#include <utility>

namespace peridotgrade {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

    constexpr std::uint16_t StatusOk = 200;
    // Time allowed for the response, in addition to the requested wait.
    constexpr std::chrono::milliseconds ReadTimeoutMargin { 3'000 };

    std::optional<std::uint64_t> numberIn(const json::object& object, std::string_view key)
    {
        const json::value* value = object.if_contains(key);
        if (value == nullptr || !value->is_number())
            return std::nullopt;
        boost::system::error_code error;
        auto number = value->to_number<std::uint64_t>(error);
        if (error)
            return std::nullopt;
        return number;
    }

    std::optional<LogRecord> recordFrom(const json::value& value)
    {
        if (!value.is_object())
            return std::nullopt;
        const json::object& object = value.as_object();
        const json::value* data = object.if_contains("data");
        auto offset = numberIn(object, "offset");
        auto time = numberIn(object, "time_ms");
        if (!offset || !time || data == nullptr || !data->is_string())
            return std::nullopt;
        LogRecord record;
        record.offset = LogOffset { *offset };
        record.appendedAt = WallTime { std::chrono::milliseconds { static_cast<std::int64_t>(*time) } };
        record.data = std::string { data->as_string() };
        return record;
    }

    LogError malformed(std::string detail)
    {
        LogError error;
        error.kind = LogErrorKind::Malformed;
        error.detail = std::move(detail);
        return error;
    }

    std::variant<LogOffset, LogError> appendResult(const HttpResponse& response)
    {
        if (response.status != StatusOk)
            return logErrorFrom(response);
        boost::system::error_code error;
        json::value body = json::parse(response.body, error);
        if (error || !body.is_object())
            return malformed("answer to an append is not a JSON object");
        auto first = numberIn(body.as_object(), "first_offset");
        if (!first)
            return malformed("answer to an append has no first_offset");
        return LogOffset { *first };
    }

    std::variant<LogPage, LogError> readResult(const HttpResponse& response)
    {
        if (response.status != StatusOk)
            return logErrorFrom(response);
        boost::system::error_code error;
        json::value body = json::parse(response.body, error);
        if (error || !body.is_object())
            return malformed("answer to a read is not a JSON object");
        const json::object& object = body.as_object();
        auto oldest = numberIn(object, "oldest");
        auto next = numberIn(object, "next");
        const json::value* records = object.if_contains("records");
        if (!oldest || !next || records == nullptr || !records->is_array())
            return malformed("answer to a read has no valid oldest, next or records");
        LogPage page;
        page.oldest = LogOffset { *oldest };
        page.next = LogOffset { *next };
        for (const json::value& value : records->as_array()) {
            auto record = recordFrom(value);
            if (!record)
                return malformed("log record has no valid offset, time_ms or data");
            page.records.push_back(std::move(*record));
        }
        return page;
    }

} // namespace

class LogClient::Impl {
public:
    Impl(asio::any_io_executor executor, Endpoint platform)
        : http(std::move(executor), std::move(platform))
    {
    }

    HttpClient http;
};

LogClient::LogClient(asio::any_io_executor executor, Endpoint platform)
    : impl(std::make_shared<Impl>(std::move(executor), std::move(platform)))
{
}

LogClient::~LogClient() = default;

asio::awaitable<std::variant<LogOffset, LogError>> LogClient::append(
    std::string stream, std::vector<std::string> records, std::chrono::milliseconds timeout)
{
    auto self = this->impl;
    json::array texts;
    for (std::string& record : records)
        texts.emplace_back(record);
    json::object body;
    body["records"] = std::move(texts);
    HttpRequest request;
    request.method = "POST";
    request.target = "/log/" + stream + "/records";
    request.body = json::serialize(body);
    auto result = co_await self->http.send(std::move(request), timeout, false);
    if (auto* error = std::get_if<NetError>(&result))
        co_return logErrorFrom(*error);
    co_return appendResult(std::get<HttpResponse>(result));
}

asio::awaitable<std::variant<LogPage, LogError>> LogClient::read(
    std::string stream, LogOffset from, std::uint32_t limit, std::chrono::milliseconds wait)
{
    auto self = this->impl;
    HttpRequest request;
    request.target = "/log/" + stream + "/records?from=" + std::to_string(from.raw())
        + "&limit=" + std::to_string(limit) + "&wait_ms=" + std::to_string(wait.count());
    auto result = co_await self->http.send(std::move(request), wait + ReadTimeoutMargin);
    if (auto* error = std::get_if<NetError>(&result))
        co_return logErrorFrom(*error);
    co_return readResult(std::get<HttpResponse>(result));
}

} // namespace peridotgrade
