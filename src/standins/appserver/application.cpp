// Reads, actions and injected faults of the fake application server.
#include "application.h"

#include "../common/json_body.h"
#include "../common/pause.h"

#include <utility>

namespace peridotgrade::standins {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

    /// Decrements `count` unless it is 0; returns whether it did.
    bool decrementIfPositive(std::uint64_t& count)
    {
        if (count == 0)
            return false;
        --count;
        return true;
    }

} // namespace

Application::Application(std::uint64_t seed, ApplicationSettings settings)
    : settings(settings)
    , random(seed)
{
}

void Application::addSwitches(ControlPort& control)
{
    control.addVariable("delay_ms", this->settings.delayMs);
    control.addVariable("answer_delay_ms", this->settings.answerDelayMs);
    control.addVariable("lose_answers", this->settings.loseAnswers);
    control.addVariable("drop_calls", this->settings.dropCalls);
    control.addVariable("fail_calls", this->settings.failCalls);
    control.addVariable("lost_answer_share", this->settings.lostAnswerShare);
}

json::object Application::counts() const
{
    json::object runsByKey;
    for (const auto& [key, count] : this->runs)
        runsByKey[key] = count;
    json::object result;
    result["reads"] = this->reads;
    result["actions"] = this->actions;
    result["runs"] = std::move(runsByKey);
    return result;
}

asio::awaitable<void> Application::serve(HttpExchange& exchange)
{
    if (this->settings.delayMs > 0)
        co_await pause(exchange.executor(), std::chrono::milliseconds { this->settings.delayMs });
    if (decrementIfPositive(this->settings.dropCalls)) {
        exchange.abort();
        co_return;
    }
    if (decrementIfPositive(this->settings.failCalls)) {
        HttpResponse failure = errorResponse(500, "internal", "injected failure");
        co_await exchange.respond(std::move(failure));
        co_return;
    }
    const std::string& method = exchange.request().method;
    bool isRead = method == "GET" || method == "HEAD";
    HttpResponse response = isRead ? this->read(exchange.request()) : this->runAction(exchange.request());
    if (!isRead && this->shouldLoseAnswer()) {
        exchange.abort();
        co_return;
    }
    if (method == "HEAD")
        response.body.clear();
    if (!isRead && this->settings.answerDelayMs > 0)
        co_await pause(exchange.executor(), std::chrono::milliseconds { this->settings.answerDelayMs });
    co_await exchange.respond(std::move(response));
}

HttpResponse Application::read(const HttpRequest& request)
{
    ++this->reads;
    json::object body;
    body["method"] = request.method;
    body["path"] = request.target;
    return jsonResponse(200, body);
}

HttpResponse Application::runAction(const HttpRequest& request)
{
    ++this->actions;
    std::string key { request.field("Idempotency-Key") };
    std::uint64_t run = ++this->runs[key];
    json::object body;
    body["method"] = request.method;
    body["path"] = request.target;
    body["key"] = key;
    body["run"] = run;
    body["receipt"] = this->actions;
    body["body"] = request.body;
    return jsonResponse(201, body);
}

bool Application::shouldLoseAnswer()
{
    bool isLost = std::uniform_real_distribution<double> {}(this->random) < this->settings.lostAnswerShare;
    return decrementIfPositive(this->settings.loseAnswers) || isLost;
}

} // namespace peridotgrade::standins
