// The callers' port: authentication and dispatch by path.
#pragma once

#include "call_service.h"
#include "completion_service.h"
#include "entry_metrics.h"

#include "peridotgrade/entry/entry_context.h"
#include "peridotgrade/net/http_server.h"

namespace peridotgrade {

/// Refuses requests that have no valid workspace key or arrive while the entry is not ready, and dispatches
/// all others to their service.
class CallerApi {
public:
    CallerApi(EntryContext& context, EntryMetrics& metrics, Admission& admission);

    boost::asio::awaitable<void> handle(HttpExchange& exchange);

private:
    boost::asio::awaitable<void> dispatch(HttpExchange& exchange, CallerRequest caller);
    boost::asio::awaitable<void> refuse(HttpExchange& exchange, ApiError error);

    EntryContext& context;
    EntryMetrics& metrics;
    CompletionService completions;
    CallService calls;
};

} // namespace peridotgrade
