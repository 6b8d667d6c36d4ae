// The fake engine's HTTP interface.
#pragma once

#include "engine.h"

#include "peridotgrade/net/http_server.h"

namespace peridotgrade::standins {

/// Serves `/v1/…` for one engine. Not thread safe.
class EngineHttp {
public:
    explicit EngineHttp(Engine& engine)
        : engine(engine)
    {
    }

    boost::asio::awaitable<void> serve(HttpExchange& exchange);

private:
    boost::asio::awaitable<void> prefill(HttpExchange& exchange);
    boost::asio::awaitable<void> decode(HttpExchange& exchange);
    boost::asio::awaitable<void> streamTokens(HttpExchange& exchange, StreamTaskPointer task);
    boost::asio::awaitable<void> cancel(HttpExchange& exchange, std::string stream);
    boost::asio::awaitable<void> exportKv(HttpExchange& exchange, std::string handle);
    boost::asio::awaitable<bool> sendKv(HttpExchange& exchange, std::uint64_t bytes);
    boost::asio::awaitable<void> cacheEvents(HttpExchange& exchange);
    HttpResponse applyCommand(const HttpRequest& request);

    Engine& engine;
};

} // namespace peridotgrade::standins
