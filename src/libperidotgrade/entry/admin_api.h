// The admin port: health, metrics, time line, log level, operators' calls.
#pragma once

#include "peridotgrade/entry/entry_context.h"
#include "peridotgrade/entry/operator_api.h"
#include "peridotgrade/net/http_server.h"

namespace peridotgrade {

/// Reading is open to whoever reaches the port; changing needs an operator's credential.
class AdminApi {
public:
    /// `operators` may be null: then there is nothing below `/operator/`.
    AdminApi(EntryContext& context, OperatorApi* operators);

    boost::asio::awaitable<void> handle(HttpExchange& exchange);

private:
    HttpResponse answerTo(const HttpRequest& request);
    HttpResponse changeLogLevel(const HttpRequest& request, const OperatorCredential& credential);

    EntryContext& context;
    OperatorApi* operators;
};

} // namespace peridotgrade
