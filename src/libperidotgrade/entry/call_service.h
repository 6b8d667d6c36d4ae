// Serves application calls to callers.
#pragma once

#include "admission.h"
#include "caller_request.h"
#include "entry_metrics.h"

#include "peridotgrade/entry/entry_context.h"
#include "peridotgrade/net/http_server.h"

#include <atomic>

namespace peridotgrade {

/// Turns an application call into a call request at one of the shards, and the answer into HTTP.
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
