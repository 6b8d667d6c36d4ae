// An in-process fake of the log service for tests, with injected faults.
#pragma once

#include "peridotgrade/net/http_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace peridotgrade::test {

/// Serves one stream; the stream name in the path is ignored.
class FakeLogService {
public:
    explicit FakeLogService(boost::asio::io_context& context)
        : server(std::make_unique<HttpServer>(context.get_executor(), settingsOf(),
            [this](HttpExchange& exchange) { return this->serve(exchange); }))
    {
        this->endpoint = std::get<Endpoint>(this->server->start());
    }

    Endpoint endpoint;
    std::vector<std::string> records;
    /// Number of appends to come that take effect but are not answered.
    int answersToLose = 0;
    /// Number of appends to come that are answered with 429.
    int appendsToRefuse = 0;
    bool isDown = false;
    /// Record that is appended just before the next append; empty for none.
    std::string competingRecord;

private:
    static HttpServerSettings settingsOf()
    {
        HttpServerSettings settings;
        settings.listen = { "127.0.0.1", 0 };
        return settings;
    }

    boost::asio::awaitable<void> serve(HttpExchange& exchange)
    {
        HttpResponse response;
        bool isAppend = exchange.request().method == "POST";
        if (this->isDown || (isAppend && this->appendsToRefuse > 0)) {
            this->appendsToRefuse -= isAppend && !this->isDown ? 1 : 0;
            response.status = this->isDown ? 503 : 429;
            co_await exchange.respond(std::move(response));
            co_return;
        }
        response.body = isAppend ? this->append(exchange.request()) : this->read(exchange.request());
        if (isAppend && this->answersToLose > 0) {
            --this->answersToLose;
            co_await this->withholdResponse(exchange);
            co_return;
        }
        // Reads do not wait for a record here, so the delay keeps an idle reader from spinning.
        if (!isAppend)
            co_await this->pause(exchange);
        co_await exchange.respond(std::move(response));
    }

    std::string append(const HttpRequest& request)
    {
        if (!this->competingRecord.empty())
            this->records.push_back(std::exchange(this->competingRecord, {}));
        std::size_t first = this->records.size();
        auto body = boost::json::parse(request.body);
        for (const auto& record : body.as_object().at("records").as_array())
            this->records.emplace_back(record.as_string());
        boost::json::object answer;
        answer["first_offset"] = first;
        return boost::json::serialize(answer);
    }

    std::string read(const HttpRequest& request) const
    {
        boost::json::array list;
        for (std::size_t offset = std::stoul(request.query("from")); offset < this->records.size();
             ++offset) {
            boost::json::object record;
            record["offset"] = offset;
            record["time_ms"] = offset;
            record["data"] = this->records[offset];
            list.push_back(std::move(record));
        }
        boost::json::object answer;
        answer["oldest"] = 0;
        answer["next"] = this->records.size();
        answer["records"] = std::move(list);
        return boost::json::serialize(answer);
    }

    static boost::asio::awaitable<void> pause(HttpExchange& exchange)
    {
        boost::asio::steady_timer timer(exchange.executor(), std::chrono::milliseconds { 5 });
        boost::system::error_code ignored;
        co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }

    static boost::asio::awaitable<void> withholdResponse(HttpExchange& exchange)
    {
        boost::asio::steady_timer forever(exchange.executor(), std::chrono::hours { 1 });
        exchange.onClientDisconnect([&] { forever.cancel(); });
        boost::system::error_code ignored;
        co_await forever.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }

    std::unique_ptr<HttpServer> server;
};

} // namespace peridotgrade::test
