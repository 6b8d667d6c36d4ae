// JSON of answers to completions, as in the common completion APIs.
#pragma once

#include "peridotgrade/callers/completion_request.h"
#include "peridotgrade/core/base/time.h"
#include "peridotgrade/core/messages/stream_messages.h"

#include <string>
#include <string_view>

namespace peridotgrade {

/// The last event of every stream, also of one that ends in an error.
constexpr std::string_view StreamEnd = "data: [DONE]\n\n";

/// Finish reason and token usage of a complete answer.
struct AnswerSummary {
    FinishReason finishReason = FinishReason::Stop;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
};

/// Writes the answer to one request. The constant parts of an event are built once, since an event is written
/// for each token.
class CompletionWriter {
public:
    CompletionWriter(const CompletionRequest& request, RequestId id, WallTime createdAt);

    /// Appends a server-sent event with one piece of text to `out`.
    void appendEvent(std::string& out, std::string_view piece) const;
    /// Returns the events that end a complete stream: finish reason with usage, and `[DONE]`.
    std::string finalEvents(const AnswerSummary& summary) const;
    /// Returns the body of an answer that is not streamed.
    std::string wholeBody(std::string_view text, const AnswerSummary& summary) const;

private:
    CompletionShape shape;
    std::string id;
    std::string model;
    std::int64_t createdSeconds;
    std::string eventBegin;
    std::string eventEnd;
};

} // namespace peridotgrade
