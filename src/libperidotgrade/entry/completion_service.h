// HTTP service for completions.
#pragma once

#include "admission.h"
#include "caller_request.h"
#include "entry_metrics.h"

#include "answer_end.h"

#include "peridotgrade/callers/completion_request.h"
#include "peridotgrade/entry/entry_context.h"
#include "peridotgrade/net/http_server.h"

#include <atomic>

namespace peridotgrade {

/// Submits a completion request to one of the shards as a model request and sends the answer over HTTP.
class CompletionService {
public:
    CompletionService(EntryContext& context, EntryMetrics& metrics, Admission& admission);

    boost::asio::awaitable<void> serve(HttpExchange& exchange, CompletionShape shape, CallerRequest caller);
    /// Serves `GET /v1/models`.
    boost::asio::awaitable<void> listModels(HttpExchange& exchange);

private:
    /// Refuses a request that is not submitted to a shard.
    boost::asio::awaitable<void> refuse(HttpExchange& exchange, Refusal refusal, std::string displayId);
    void recordArrival(const CallerRequest& caller, RequestId id);
    void logEnd(const CompletionRequest& request, const CallerRequest& caller, RequestId id,
        const AnswerEnd& end, std::optional<Duration> timeToFirstToken);

    EntryShard& nextShard();
    ModelRequest modelRequest(
        const CompletionRequest& request, const CallerRequest& caller, RequestId id) const;

    EntryContext& context;
    EntryMetrics& metrics;
    Admission& admission;
    std::atomic<std::size_t> roundRobinCounter = 0;
};

} // namespace peridotgrade
