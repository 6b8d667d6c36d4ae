// HTTP requests to an engine.
#include "engine_protocol.h"

#include "peridotgrade/core/config/site_configuration.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace peridotgrade {

namespace json = boost::json;

namespace {

    HttpRequest post(std::string target, const json::object& body)
    {
        HttpRequest request;
        request.method = "POST";
        request.target = std::move(target);
        request.fields.push_back(HttpField { "Content-Type", "application/json" });
        request.body = json::serialize(body);
        return request;
    }

    std::string_view wireName(ConfigurationCommandKind kind)
    {
        if (kind == ConfigurationCommandKind::Load)
            return "load";
        return kind == ConfigurationCommandKind::Unload ? "unload" : "role";
    }

} // namespace

HttpRequest prefillRequest(const EnginePrefill& command)
{
    json::object body;
    body["stream"] = command.stream.raw();
    body["model"] = command.model.raw();
    body["prompt"] = command.prompt;
    body["priority"] = static_cast<std::uint32_t>(command.priority);
    return post("/v1/prefill", body);
}

HttpRequest decodeRequest(const EngineDecode& command)
{
    json::object body;
    body["stream"] = command.stream.raw();
    body["model"] = command.model.raw();
    body["prompt"] = command.prompt;
    body["first_index"] = command.firstIndex;
    body["max_tokens"] = command.maxOutputTokens;
    body["priority"] = static_cast<std::uint32_t>(command.priority);
    if (!command.handle.raw().empty()) {
        json::object kv;
        kv["exporter"] = command.exporter;
        kv["handle"] = command.handle.raw();
        body["kv"] = std::move(kv);
        body["transfer_timeout_ms"] = command.transferTimeout.count();
    }
    return post("/v1/decode", body);
}

HttpRequest cancelRequest(const EngineStreamId& stream)
{
    HttpRequest request;
    request.method = "DELETE";
    request.target = "/v1/streams/" + stream.raw();
    return request;
}

HttpRequest listRequest()
{
    HttpRequest request;
    request.target = "/v1/streams";
    return request;
}

HttpRequest stateRequest()
{
    HttpRequest request;
    request.target = "/v1/state";
    return request;
}

HttpRequest cacheEventsRequest(std::uint64_t from, std::chrono::milliseconds wait)
{
    HttpRequest request;
    request.target
        = "/v1/cache-events?from=" + std::to_string(from) + "&wait_ms=" + std::to_string(wait.count());
    return request;
}

HttpRequest commandRequest(const ConfigurationCommand& command, const Endpoint& weightStore)
{
    json::object body;
    body["fence"] = command.fence.raw();
    body["kind"] = wireName(command.kind);
    if (command.kind == ConfigurationCommandKind::ChangeRole) {
        body["role"] = nameOf(command.role);
        return post("/v1/orders", body);
    }
    body["model"] = command.model.raw();
    body["version"] = command.modelVersion;
    if (!command.adapter.empty())
        body["adapter"] = command.adapter;
    body["weights"] = toString(weightStore);
    return post("/v1/orders", body);
}

} // namespace peridotgrade
