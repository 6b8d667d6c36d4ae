// HTTP service for application calls.
#pragma once

#include "admission.h"
#include "caller_request.h"
#include "entry_metrics.h"

#include "peridotgrade/entry/entry_context.h"
#include "peridotgrade/net/http_server.h"

#include <atomic>

namespace peridotgrade {

/// Submits an application call to one of the shards and sends the answer as an HTTP response.
class CallService {
public:
    CallService(EntryContext& context, EntryMetrics& metrics, Admission& admission);

    boost::asio::awaitable<void> serve(HttpExchange& exchange, CallerRequest caller);

private:
    EntryShard& shardFor(const IdempotencyKey& key);

    EntryContext& context;
    EntryMetrics& metrics;
    Admission& admission;
    std::atomic<std::size_t> roundRobinCounter = 0;
};

} // namespace peridotgrade
