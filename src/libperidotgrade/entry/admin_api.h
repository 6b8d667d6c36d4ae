// Admin port of an entry: health, metrics, timeline, log level and the operator API.
#pragma once

#include "peridotgrade/entry/entry_context.h"
#include "peridotgrade/net/http_server.h"
#include "peridotgrade/operators/operator_api.h"

namespace peridotgrade {

/// Reads need no credential. Changes need an operator's key; OperatorApi checks it for its own paths.
class AdminApi {
public:
    AdminApi(EntryContext& context, OperatorApi& operators);

    boost::asio::awaitable<void> handle(HttpExchange& exchange);

private:
    HttpResponse handleRead(const HttpRequest& request);
    HttpResponse changeLogLevel(const HttpRequest& request);

    EntryContext& context;
    OperatorApi& operators;
};

} // namespace peridotgrade
