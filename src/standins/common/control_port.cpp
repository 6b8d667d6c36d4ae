// HTTP handlers of the control port.
#include "control_port.h"

#include "json_body.h"

#include <exception>

namespace peridotgrade::standins {

namespace json = boost::json;

void ControlPort::addSwitch(std::string name, Switch apply)
{
    this->switches[std::move(name)] = std::move(apply);
}

void ControlPort::setSnapshot(Snapshot snapshot) { this->snapshot = std::move(snapshot); }

boost::asio::awaitable<void> ControlPort::serve(HttpExchange& exchange)
{
    HttpResponse response;
    if (exchange.request().path() != "/control")
        response = errorResponse(404, "not_found", "unknown path; this port serves only /control");
    else if (exchange.request().method == "GET")
        response = jsonResponse(200, this->snapshot());
    else
        response = this->apply(exchange.request());
    co_await exchange.respond(std::move(response));
}

HttpResponse ControlPort::apply(const HttpRequest& request)
{
    auto body = objectFrom(request);
    if (!body)
        return errorResponse(400, "invalid_request", "the body is not a JSON object");
    for (const auto& member : *body) {
        if (!this->switches.count(std::string { member.key() }))
            return errorResponse(400, "unknown_switch", member.key());
    }
    try {
        for (const auto& member : *body)
            this->switches.at(std::string { member.key() })(member.value());
    } catch (const std::exception& failure) {
        return errorResponse(400, "invalid_value", failure.what());
    }
    return jsonResponse(200, json::object {});
}

} // namespace peridotgrade::standins
