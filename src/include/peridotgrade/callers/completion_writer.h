// Answers to completions, in the usual JSON shapes.
#pragma once

#include "peridotgrade/callers/completion_request.h"
#include "peridotgrade/core/base/time.h"
#include "peridotgrade/core/messages/stream_messages.h"

#include <string>
#include <string_view>

namespace peridotgrade {

/// The last line of every stream, also of one that ends in an error.
constexpr std::string_view StreamEnd = "data: [DONE]\n\n";

/// The numbers at the end of a whole answer.
struct AnswerSummary {
    FinishReason finishReason = FinishReason::Stop;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
};

/// Writes the answer to one request. Fixed parts are put together once, since one event is written for each
/// token.
class CompletionWriter {
public:
    CompletionWriter(const CompletionRequest& request, RequestId id, WallTime createdAt);

    /// One server-sent event for one piece of text, appended to `out`.
    void appendEvent(std::string& out, std::string_view piece) const;
    /// The events that end a whole stream: finish reason, usage, `[DONE]`.
    std::string finalEvents(const AnswerSummary& summary) const;
    /// The body of an answer that is not streamed.
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
