// HTTP handlers of the fake log service: append rate limit, retention, outages and lost responses.
#include "log_service.h"

#include "../common/json_body.h"
#include "../common/pause.h"

#include <boost/json/array.hpp>

#include <algorithm>
#include <optional>

namespace peridotgrade::standins {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

    constexpr std::chrono::milliseconds PollInterval { 5 };
    constexpr std::uint64_t DefaultReadLimit = 1000;

    std::optional<std::vector<std::string>> recordsFrom(const HttpRequest& request)
    {
        auto body = objectFrom(request);
        const json::value* records = body ? body->if_contains("records") : nullptr;
        if (!records || !records->is_array() || records->as_array().empty())
            return std::nullopt;
        std::vector<std::string> result;
        for (const json::value& record : records->as_array()) {
            if (!record.is_string())
                return std::nullopt;
            result.emplace_back(record.as_string());
        }
        return result;
    }

} // namespace

LogService::LogService(std::uint64_t seed, LogSettings settings)
    : settings(settings)
    , random(seed)
    , permits(settings.appendsPerSecond)
    , permitsRefilledAt(StandinClock::now())
{
}

void LogService::addSwitches(ControlPort& control)
{
    control.addVariable("appends_per_second", this->settings.appendsPerSecond);
    control.addVariable("retention_ms", this->settings.retentionMs);
    control.addVariable("slow_ms", this->settings.slowMs);
    control.addVariable("log_down", this->settings.isDown);
    control.addVariable("log_unreachable", this->settings.isUnreachable);
    control.addVariable("lose_answers", this->settings.loseAnswers);
    control.addVariable("lost_answer_share", this->settings.lostAnswerShare);
}

void LogService::addCounts(json::object& counts) const
{
    counts["appends"] = this->appends;
    counts["appends_refused"] = this->refused;
    counts["answers_lost"] = this->answersLost;
    json::object offsets;
    for (const auto& [name, stream] : this->streams)
        offsets[name] = stream.next();
    counts["next_offsets"] = std::move(offsets);
}

asio::awaitable<void> LogService::serve(HttpExchange& exchange, std::string stream)
{
    if (this->settings.isUnreachable) {
        exchange.abort();
        co_return;
    }
    if (this->settings.slowMs > 0)
        co_await pause(exchange.executor(), std::chrono::milliseconds { this->settings.slowMs });
    if (this->settings.isDown) {
        HttpResponse down = errorResponse(503, "unavailable", "the log is down");
        co_await exchange.respond(std::move(down));
        co_return;
    }
    this->streams[stream].trim(std::chrono::milliseconds { this->settings.retentionMs });
    if (exchange.request().method == "POST")
        co_await this->append(exchange, std::move(stream));
    else
        co_await this->read(exchange, std::move(stream));
}

asio::awaitable<void> LogService::append(HttpExchange& exchange, std::string stream)
{
    auto records = recordsFrom(exchange.request());
    HttpResponse response;
    if (!records) {
        response = errorResponse(400, "invalid_request", "\"records\" must be a non-empty array of strings");
    } else if (!this->takeAppendPermit()) {
        ++this->refused;
        response = errorResponse(429, "rate", "append rate limit exceeded");
    } else {
        ++this->appends;
        json::object body;
        body["first_offset"] = this->streams[stream].append(std::move(*records));
        if (this->shouldLoseAnswer()) {
            exchange.abort();
            co_return;
        }
        response = jsonResponse(200, body);
    }
    co_await exchange.respond(std::move(response));
}

asio::awaitable<void> LogService::read(HttpExchange& exchange, std::string name)
{
    std::uint64_t from = queryNumber(exchange.request(), "from", 0);
    std::uint64_t limit = queryNumber(exchange.request(), "limit", DefaultReadLimit);
    std::chrono::milliseconds wait { queryNumber(exchange.request(), "wait_ms", 0) };
    auto deadline = StandinClock::now() + wait;
    LogStream& stream = this->streams[name];
    bool isDisconnected = false;
    exchange.onClientDisconnect([&isDisconnected] { isDisconnected = true; });
    while (from >= stream.next() && StandinClock::now() < deadline && !isDisconnected
        && !this->settings.isDown && !this->settings.isUnreachable)
        co_await pause(exchange.executor(), PollInterval);
    if (this->settings.isUnreachable) {
        exchange.abort();
        co_return;
    }
    HttpResponse response = this->page(stream, from, limit);
    co_await exchange.respond(std::move(response));
}

HttpResponse LogService::page(const LogStream& stream, std::uint64_t from, std::uint64_t limit) const
{
    if (this->settings.isDown)
        return errorResponse(503, "unavailable", "the log is down");
    json::object body;
    body["oldest"] = stream.oldest();
    body["next"] = stream.next();
    if (from < stream.oldest())
        return jsonResponse(410, body);
    json::array records;
    for (const LogStream::Record& record : stream.read(from, limit)) {
        json::object item;
        item["offset"] = record.offset;
        item["time_ms"] = record.unixMillis;
        item["data"] = record.data;
        records.push_back(std::move(item));
    }
    body["records"] = std::move(records);
    return jsonResponse(200, body);
}

bool LogService::takeAppendPermit()
{
    auto now = StandinClock::now();
    std::chrono::duration<double> elapsed = now - this->permitsRefilledAt;
    double rate = this->settings.appendsPerSecond;
    this->permitsRefilledAt = now;
    this->permits = std::min(rate, this->permits + elapsed.count() * rate);
    if (this->permits < 1)
        return false;
    this->permits -= 1;
    return true;
}

bool LogService::shouldLoseAnswer()
{
    bool isLost = std::uniform_real_distribution<double> {}(this->random) < this->settings.lostAnswerShare;
    if (this->settings.loseAnswers > 0) {
        --this->settings.loseAnswers;
        isLost = true;
    }
    this->answersLost += isLost;
    return isLost;
}

} // namespace peridotgrade::standins
