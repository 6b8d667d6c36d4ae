// Sends one completion request and checks its streamed answer.
#include "load_caller.h"

#include "../standins/engine/answer.h"

#include "peridotgrade/net/http_client.h"
#include "peridotgrade/net/timer_driver.h"

#include <boost/json.hpp>

namespace peridotgrade::load {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

    constexpr std::chrono::milliseconds RequestTimeout { 120'000 };
    constexpr std::string_view EventPrefix = "data: ";

    /// Parses the server-sent events of one streamed answer and collects its text and latencies.
    class AnswerReader {
    public:
        explicit AnswerReader(TimePoint sentAt)
            : sentAt(sentAt)
        {
        }

        void onBytes(const std::string& bytes, TimePoint now)
        {
            this->buffer += bytes;
            std::size_t begin = 0;
            for (std::size_t end = this->buffer.find('\n'); end != std::string::npos;
                 end = this->buffer.find('\n', begin)) {
                this->onLine(std::string_view { this->buffer }.substr(begin, end - begin), now);
                begin = end + 1;
            }
            this->buffer.erase(0, begin);
        }

        LoadResult resultFor(const LoadRequest& request) &&
        {
            if (this->result.outcome == LoadOutcome::Unknown || this->result.outcome == LoadOutcome::Refused)
                return std::move(this->result);
            bool isComplete = this->isFinished
                && this->text == standins::completeAnswer(request.prompt, request.maxTokens);
            // A stream that ends without a finish reason or an error counts as wrong, even if its text is a
            // prefix of the answer.
            this->result.outcome = isComplete ? LoadOutcome::Answered : LoadOutcome::Wrong;
            return std::move(this->result);
        }

    private:
        void onLine(std::string_view line, TimePoint now)
        {
            if (!line.starts_with(EventPrefix))
                return;
            line.remove_prefix(EventPrefix.size());
            boost::system::error_code error;
            json::value event = json::parse(json::string_view { line }, error);
            if (error || !event.is_object())
                return;
            if (event.as_object().contains("error"))
                this->onError(event.at("error").as_object());
            else
                this->onEvent(event.as_object(), now);
        }

        void onError(const json::object& error)
        {
            const json::value* outcome = error.if_contains("outcome");
            bool isNotRun = outcome != nullptr && *outcome == "not-run";
            this->result.outcome = isNotRun ? LoadOutcome::Refused : LoadOutcome::Unknown;
            if (const json::value* code = error.if_contains("code"); code != nullptr && code->is_string())
                this->result.code = std::string { code->as_string() };
        }

        void onEvent(const json::object& event, TimePoint now)
        {
            const json::value* choices = event.if_contains("choices");
            const json::object& part = choices == nullptr ? event : choices->as_array().at(0).as_object();
            const json::value* reason = part.if_contains("finish_reason");
            if (reason != nullptr && reason->is_string())
                this->isFinished = true;
            const json::value* piece = part.if_contains("text");
            if (piece == nullptr || piece->as_string().empty())
                return;
            this->text += piece->as_string();
            ++this->result.tokens;
            if (!this->result.firstToken)
                this->result.firstToken = now - this->sentAt;
            else
                this->result.gaps.push_back(now - this->lastAt);
            this->lastAt = now;
        }

        const TimePoint sentAt;
        TimePoint lastAt;
        std::string buffer;
        std::string text;
        bool isFinished = false;
        LoadResult result;
    };

    asio::awaitable<LoadResult> readStream(
        HttpStream& stream, AnswerReader& reader, const LoadRequest& request)
    {
        std::string errorDetail;
        for (;;) {
            auto part = co_await stream.read(RequestTimeout);
            auto* bytes = std::get_if<std::string>(&part);
            if (auto* error = std::get_if<NetError>(&part))
                errorDetail = error->detail;
            if (bytes == nullptr || bytes->empty())
                break;
            reader.onBytes(*bytes, TimerDriver::now());
        }
        LoadResult result = std::move(reader).resultFor(request);
        result.status = stream.head().status;
        if (result.code.empty())
            result.code = errorDetail;
        co_return result;
    }

    asio::awaitable<LoadResult> readError(HttpStream& stream)
    {
        LoadResult result;
        result.status = stream.head().status;
        bool isNotRun = stream.head().field("X-Peridot-Outcome") == "not-run";
        result.outcome = isNotRun ? LoadOutcome::Refused : LoadOutcome::Unknown;
        auto part = co_await stream.read(RequestTimeout);
        auto* body = std::get_if<std::string>(&part);
        boost::system::error_code error;
        json::value parsed = body == nullptr ? json::value {} : json::parse(*body, error);
        if (!error && parsed.is_object() && parsed.as_object().contains("error")) {
            const json::value* code = parsed.at("error").as_object().if_contains("code");
            if (code != nullptr && code->is_string())
                result.code = std::string { code->as_string() };
        }
        co_return result;
    }

    asio::awaitable<LoadResult> send(
        asio::any_io_executor executor, Endpoint server, HttpRequest message, LoadRequest request)
    {
        HttpClient client(executor, server);
        AnswerReader reader(TimerDriver::now());
        auto opened = co_await client.open(std::move(message), RequestTimeout);
        if (auto* error = std::get_if<NetError>(&opened)) {
            LoadResult failed;
            failed.code = error->detail;
            co_return failed;
        }
        HttpStream& stream = *std::get<std::unique_ptr<HttpStream>>(opened);
        if (stream.head().status != 200)
            co_return co_await readError(stream);
        co_return co_await readStream(stream, reader, request);
    }

} // namespace

asio::awaitable<LoadResult> callEntry(asio::any_io_executor executor, LoadTarget target, LoadRequest request)
{
    json::object body;
    body["model"] = target.model;
    body["prompt"] = request.prompt;
    body["max_tokens"] = request.maxTokens;
    body["stream"] = true;
    HttpRequest message;
    message.method = "POST";
    message.target = "/v1/completions";
    message.fields.push_back({ "Authorization", "Bearer " + target.key });
    message.fields.push_back({ "Content-Type", "application/json" });
    message.body = json::serialize(body);
    co_return co_await send(executor, target.entry, std::move(message), std::move(request));
}

asio::awaitable<LoadResult> callEngine(asio::any_io_executor executor, Endpoint engine, std::string model,
    LoadRequest request, std::uint64_t number)
{
    json::object body;
    body["stream"] = "load-" + std::to_string(number);
    body["model"] = model;
    body["prompt"] = request.prompt;
    body["first_index"] = 0;
    body["max_tokens"] = request.maxTokens;
    body["priority"] = 1;
    HttpRequest message;
    message.method = "POST";
    message.target = "/v1/decode";
    message.body = json::serialize(body);
    co_return co_await send(executor, engine, std::move(message), std::move(request));
}

} // namespace peridotgrade::load
