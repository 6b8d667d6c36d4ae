// Sends the answer of a model to its caller.
#pragma once

#include "answer_channel.h"
#include "answer_end.h"
#include "answer_timing.h"
#include "caller_request.h"
#include "entry_metrics.h"

#include "peridotgrade/callers/completion_writer.h"
#include "peridotgrade/entry/entry_context.h"
#include "peridotgrade/net/http_server.h"

#include <optional>
#include <string>

namespace peridotgrade {

/// Reads a channel to its end and writes to the exchange, either as a stream of events or as one body at the
/// end.
class CompletionAnswer {
public:
    CompletionAnswer(HttpExchange& exchange, AnswerChannel& channel, const CompletionWriter& writer,
        AnswerTiming& timing, EntryMetrics& metrics, std::string displayId);

    /// Both return no outcome if the caller disconnected; the request must then be cancelled.
    boost::asio::awaitable<AnswerEnd> sendStream();
    boost::asio::awaitable<AnswerEnd> sendWhole();

private:
    HttpResponse streamHeaders() const;
    boost::asio::awaitable<bool> write(std::string events);
    boost::asio::awaitable<AnswerEnd> refuse(Refusal refusal);
    AnswerSummary summaryOf(const FinishAnswer& finish) const;
    void countFinish();

    HttpExchange& exchange;
    AnswerChannel& channel;
    const CompletionWriter& writer;
    AnswerTiming& timing;
    EntryMetrics& metrics;
    const std::string displayId;
    bool hasBegun = false;
};

} // namespace peridotgrade
