// Serves completions to callers.
#pragma once

#include "caller_request.h"
#include "entry_metrics.h"

#include "peridotgrade/callers/completion_request.h"
#include "peridotgrade/entry/entry_context.h"
#include "peridotgrade/net/http_server.h"

#include <atomic>

namespace peridotgrade {

class AnswerChannel;

/// Turns a completion request into a model request at one of the shards, and the answer into HTTP.
class CompletionService {
public:
    CompletionService(EntryContext& context, EntryMetrics& metrics);

    boost::asio::awaitable<void> serve(HttpExchange& exchange, CompletionShape shape, CallerRequest caller);
    /// `GET /v1/models`
    boost::asio::awaitable<void> listModels(HttpExchange& exchange);

private:
    class Answer;

    EntryShard& nextShard();
    ModelRequest modelRequest(
        const CompletionRequest& request, const CallerRequest& caller, RequestId id) const;

    EntryContext& context;
    EntryMetrics& metrics;
    std::atomic<std::size_t> turn = 0;
};

} // namespace peridotgrade
