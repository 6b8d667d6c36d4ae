// Building of events and bodies for completions.
#include "peridotgrade/callers/completion_writer.h"

#include "peridotgrade/ops/id_text.h"

#include <boost/json.hpp>

namespace peridotgrade {

namespace json = boost::json;

namespace {

    std::string_view nameOf(FinishReason reason)
    {
        return reason == FinishReason::Length ? "length" : "stop";
    }

    std::string quoted(std::string_view text)
    {
        json::string value { text };
        return json::serialize(value);
    }

    bool isPlain(std::string_view text)
    {
        for (char c : text) {
            if (static_cast<unsigned char>(c) < ' ' || c == '"' || c == '\\' || c == '\x7f')
                return false;
        }
        return true;
    }

    json::object usageOf(const AnswerSummary& summary)
    {
        json::object usage;
        usage["prompt_tokens"] = summary.promptTokens;
        usage["completion_tokens"] = summary.outputTokens;
        usage["total_tokens"] = summary.promptTokens + summary.outputTokens;
        return usage;
    }

} // namespace

CompletionWriter::CompletionWriter(const CompletionRequest& request, RequestId id, WallTime createdAt)
    : shape(request.shape)
    , id((request.shape == CompletionShape::Chat ? "chatcmpl-" : "cmpl-") + textOf(id))
    , model(request.model.raw())
    , createdSeconds(std::chrono::floor<std::chrono::seconds>(createdAt).time_since_epoch().count())
{
    bool isChat = this->shape == CompletionShape::Chat;
    std::string object = isChat ? "chat.completion.chunk" : "text_completion";
    std::string head = R"(data: {"id":")" + this->id + R"(","object":")" + object + R"(","created":)"
        + std::to_string(this->createdSeconds) + R"(,"model":)" + quoted(this->model)
        + R"(,"choices":[{"index":0,)";
    this->eventBegin = head + (isChat ? R"("delta":{"content":)" : R"("text":)");
    this->eventEnd = isChat ? "},\"finish_reason\":null}]}\n\n" : ",\"finish_reason\":null}]}\n\n";
}

void CompletionWriter::appendEvent(std::string& out, std::string_view piece) const
{
    out += this->eventBegin;
    if (isPlain(piece)) {
        out += '"';
        out += piece;
        out += '"';
    } else {
        out += quoted(piece);
    }
    out += this->eventEnd;
}

std::string CompletionWriter::finalEvents(const AnswerSummary& summary) const
{
    bool isChat = this->shape == CompletionShape::Chat;
    json::object choice;
    choice["index"] = 0;
    if (isChat)
        choice["delta"] = json::object {};
    else
        choice["text"] = "";
    choice["finish_reason"] = nameOf(summary.finishReason);
    json::object event;
    event["id"] = this->id;
    event["object"] = isChat ? "chat.completion.chunk" : "text_completion";
    event["created"] = this->createdSeconds;
    event["model"] = this->model;
    event["choices"] = json::array { std::move(choice) };
    event["usage"] = usageOf(summary);
    return "data: " + json::serialize(event) + "\n\n" + std::string { StreamEnd };
}

std::string CompletionWriter::wholeBody(std::string_view text, const AnswerSummary& summary) const
{
    bool isChat = this->shape == CompletionShape::Chat;
    json::object choice;
    choice["index"] = 0;
    if (isChat) {
        json::object message;
        message["role"] = "assistant";
        message["content"] = text;
        choice["message"] = std::move(message);
    } else {
        choice["text"] = text;
    }
    choice["finish_reason"] = nameOf(summary.finishReason);
    json::object body;
    body["id"] = this->id;
    body["object"] = isChat ? "chat.completion" : "text_completion";
    body["created"] = this->createdSeconds;
    body["model"] = this->model;
    body["choices"] = json::array { std::move(choice) };
    body["usage"] = usageOf(summary);
    return json::serialize(body);
}

} // namespace peridotgrade
