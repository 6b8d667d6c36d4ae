// The admin port: health, metrics, time line, log level, operators' calls.
#pragma once

#include "peridotgrade/entry/entry_context.h"
#include "peridotgrade/net/http_server.h"
#include "peridotgrade/operators/operator_api.h"

namespace peridotgrade {

/// Reading is open to whoever reaches the port; changing needs an operator's credential, which
/// OperatorApi checks by itself.
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
