// Transfer of a KV cache over HTTP.
#include "kv_import.h"

#include "../common/now.h"

#include "peridotgrade/net/http_client.h"

namespace peridotgrade::standins {

namespace {

    std::chrono::milliseconds timeLeft(StandinClock::time_point deadline)
    {
        auto remaining
            = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - StandinClock::now());
        return std::max(remaining, std::chrono::milliseconds { 1 });
    }

    ImportResult resultOf(const NetError& error)
    {
        return error.kind == NetErrorKind::TimedOut ? ImportResult::Stalled : ImportResult::Unavailable;
    }

    boost::asio::awaitable<ImportResult> readToEnd(HttpStream& stream, StandinClock::time_point deadline)
    {
        while (true) {
            auto part = co_await stream.read(timeLeft(deadline));
            if (const auto* error = std::get_if<NetError>(&part))
                co_return resultOf(*error);
            if (std::get<std::string>(part).empty())
                co_return ImportResult::Imported;
            if (StandinClock::now() >= deadline)
                co_return ImportResult::Stalled;
        }
    }

} // namespace

boost::asio::awaitable<ImportResult> importKv(
    StreamTaskPointer task, std::string exporter, std::string handle, std::chrono::milliseconds timeout)
{
    auto server = parseEndpoint(exporter);
    if (!server)
        co_return ImportResult::Unavailable;
    auto deadline = StandinClock::now() + timeout;
    HttpClient client(task->changed.get_executor(), *server);
    HttpRequest request;
    request.target = "/v1/kv/" + handle;
    auto opened = co_await client.open(std::move(request), timeout);
    if (const auto* error = std::get_if<NetError>(&opened))
        co_return resultOf(*error);
    auto stream = std::move(std::get<std::unique_ptr<HttpStream>>(opened));
    if (stream->head().status != 200)
        co_return ImportResult::Unavailable;
    task->abortImport = [&stream] { stream->close(); };
    ImportResult result = co_await readToEnd(*stream, deadline);
    task->abortImport = nullptr;
    co_return result;
}

} // namespace peridotgrade::standins
