// Conversion of application calls to HTTP requests and of responses to answers.
#include "peridotgrade/services/application_client.h"

#include "peridotgrade/net/http_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <array>
#include <string_view>

namespace peridotgrade {

namespace asio = boost::asio;

namespace {

    constexpr const char* IdempotencyKeyField = "Idempotency-Key";

    // Header fields that belong to one connection, or that are set from other members of the call.
    constexpr auto ExcludedFields
        = std::to_array<std::string_view>({ "connection", "content-length", "content-type", "host",
            "idempotency-key", "keep-alive", "te", "trailer", "transfer-encoding", "upgrade" });

    bool isPassedThrough(const std::string& name)
    {
        auto isSame = [&name](std::string_view excluded) { return boost::beast::iequals(name, excluded); };
        return std::none_of(ExcludedFields.begin(), ExcludedFields.end(), isSame);
    }

    HttpRequest requestFrom(CallApplication call)
    {
        HttpRequest request;
        request.method = std::move(call.call.method);
        request.target = std::move(call.call.target);
        request.body = std::move(call.call.body);
        if (!call.call.contentType.empty())
            request.fields.push_back(HttpField { "Content-Type", std::move(call.call.contentType) });
        for (HeaderField& field : call.call.headers) {
            if (isPassedThrough(field.name))
                request.fields.push_back(HttpField { std::move(field.name), std::move(field.value) });
        }
        if (!call.key.raw().empty())
            request.fields.push_back(HttpField { IdempotencyKeyField, call.key.raw() });
        return request;
    }

    ApplicationAnswer answerFrom(HttpResponse response)
    {
        ApplicationAnswer answer;
        answer.status = response.status;
        answer.contentType = std::move(response.contentType);
        for (HttpField& field : response.fields) {
            if (isPassedThrough(field.name))
                answer.headers.push_back(HeaderField { std::move(field.name), std::move(field.value) });
        }
        answer.body = std::move(response.body);
        return answer;
    }

    ApplicationCallResult resultFrom(const NetError& error)
    {
        return error.mayHaveArrived ? ApplicationCallResult::Lost : ApplicationCallResult::NotSent;
    }

} // namespace

class ApplicationClient::Impl : public std::enable_shared_from_this<ApplicationClient::Impl> {
public:
    Impl(asio::any_io_executor executor, Endpoint server, EndHandler onEnded)
        : strand(asio::make_strand(std::move(executor)))
        , http(this->strand, std::move(server), ResponseEnd::Marked)
        , onEnded(std::move(onEnded))
    {
    }

    void call(CallApplication call)
    {
        auto self = this->shared_from_this();
        asio::co_spawn(this->strand, this->run(self, std::move(call)), asio::detached);
    }

private:
    asio::awaitable<void> run(std::shared_ptr<Impl>, CallApplication call)
    {
        ApplicationCallId number = call.number;
        bool isRepeatable = call.isRepeatable;
        auto timeout = call.timeout;
        HttpRequest request = requestFrom(std::move(call));
        auto result = co_await this->http.send(std::move(request), timeout, isRepeatable);
        if (const auto* error = std::get_if<NetError>(&result)) {
            this->onEnded(number, resultFrom(*error), ApplicationAnswer {});
            co_return;
        }
        ApplicationAnswer answer = answerFrom(std::move(std::get<HttpResponse>(result)));
        this->onEnded(number, ApplicationCallResult::Answered, std::move(answer));
    }

    asio::strand<asio::any_io_executor> strand;
    HttpClient http;
    const EndHandler onEnded;
};

ApplicationClient::ApplicationClient(asio::any_io_executor executor, Endpoint server, EndHandler onEnded)
    : impl(std::make_shared<Impl>(std::move(executor), std::move(server), std::move(onEnded)))
{
}

ApplicationClient::~ApplicationClient() = default;

void ApplicationClient::call(CallApplication call) { this->impl->call(std::move(call)); }

} // namespace peridotgrade
