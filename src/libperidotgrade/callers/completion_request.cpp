// Validation of the JSON of completion requests.
#include "peridotgrade/callers/completion_request.h"

#include <boost/json.hpp>

#include <algorithm>

namespace peridotgrade {

namespace json = boost::json;

namespace {

    constexpr std::size_t MaxJsonDepth = 16;
    constexpr std::size_t BytesPerToken = 4;

    using TextResult = std::variant<std::string, ApiError>;

    TextResult promptFrom(const json::object& body)
    {
        const json::value* prompt = body.if_contains("prompt");
        if (prompt != nullptr && prompt->is_array() && prompt->as_array().size() == 1)
            prompt = &prompt->as_array().front();
        if (prompt == nullptr || !prompt->is_string())
            return invalidRequest("'prompt' must be a string", "prompt");
        return std::string { prompt->as_string() };
    }

    TextResult messagesFrom(const json::object& body)
    {
        const json::value* messages = body.if_contains("messages");
        if (messages == nullptr || !messages->is_array() || messages->as_array().empty())
            return invalidRequest("'messages' must be a list with at least one message", "messages");
        std::string text;
        for (const json::value& message : messages->as_array()) {
            const json::object* fields = message.if_object();
            const json::value* role = fields == nullptr ? nullptr : fields->if_contains("role");
            const json::value* content = fields == nullptr ? nullptr : fields->if_contains("content");
            bool isComplete
                = role != nullptr && role->is_string() && content != nullptr && content->is_string();
            if (!isComplete)
                return invalidRequest(
                    "each message needs a 'role' and a 'content', both strings", "messages");
            text += std::string { role->as_string() } + ": " + std::string { content->as_string() } + "\n";
        }
        return text;
    }

    std::variant<std::uint32_t, ApiError> maxTokensFrom(
        const json::object& body, const std::string& name, std::uint32_t limit)
    {
        const json::value* value = body.if_contains(name);
        if (value == nullptr || value->is_null())
            return std::min(CompletionRequest {}.maxTokens, limit);
        boost::system::error_code error;
        auto tokens = value->to_number<std::uint32_t>(error);
        if (error || tokens == 0)
            return invalidRequest("'" + name + "' must be a whole number above 0", name);
        if (tokens > limit)
            return invalidRequest(
                "'" + name + "' is above this site's limit of " + std::to_string(limit), name);
        return tokens;
    }

    std::optional<ApiError> readCommonFields(
        CompletionRequest& request, const json::object& body, std::uint32_t maxTokensLimit)
    {
        const json::value* model = body.if_contains("model");
        if (model == nullptr || !model->is_string() || model->as_string().empty())
            return invalidRequest("'model' must be a string", "model");
        request.model = ModelId { std::string { model->as_string() } };
        bool usesNewName = body.contains("max_completion_tokens");
        auto tokens
            = maxTokensFrom(body, usesNewName ? "max_completion_tokens" : "max_tokens", maxTokensLimit);
        if (auto* error = std::get_if<ApiError>(&tokens))
            return std::move(*error);
        request.maxTokens = std::get<std::uint32_t>(tokens);
        const json::value* stream = body.if_contains("stream");
        bool hasStream = stream != nullptr && !stream->is_null();
        if (hasStream && !stream->is_bool())
            return invalidRequest("'stream' must be true or false", "stream");
        request.isStreaming = hasStream && stream->as_bool();
        const json::value* choices = body.if_contains("n");
        if (choices != nullptr && *choices != 1)
            return invalidRequest("only one choice is given for a request", "n");
        return std::nullopt;
    }

} // namespace

std::variant<CompletionRequest, ApiError> parseCompletion(
    CompletionShape shape, std::string_view body, std::uint32_t maxTokensLimit)
{
    json::parse_options options;
    options.max_depth = MaxJsonDepth;
    boost::system::error_code parseError;
    json::value parsed = json::parse(json::string_view { body }, parseError, json::storage_ptr {}, options);
    const json::object* object = parseError ? nullptr : parsed.if_object();
    if (object == nullptr)
        return invalidRequest("the body must be a JSON object");
    CompletionRequest request;
    request.shape = shape;
    if (auto error = readCommonFields(request, *object, maxTokensLimit))
        return std::move(*error);
    auto prompt = shape == CompletionShape::Chat ? messagesFrom(*object) : promptFrom(*object);
    if (auto* error = std::get_if<ApiError>(&prompt))
        return std::move(*error);
    request.prompt = std::get<std::string>(std::move(prompt));
    return request;
}

std::uint32_t promptTokensOf(std::string_view prompt)
{
    auto tokens = static_cast<std::uint32_t>((prompt.size() + BytesPerToken - 1) / BytesPerToken);
    return std::max<std::uint32_t>(1, tokens);
}

} // namespace peridotgrade
