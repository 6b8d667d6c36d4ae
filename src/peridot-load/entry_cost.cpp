// Reads the entry's metrics and derives its cost per request and per token.
#include "entry_cost.h"

#include "peridotgrade/net/http_client.h"

#include <cstdio>
#include <sstream>

namespace peridotgrade::load {

namespace asio = boost::asio;

namespace {

    constexpr std::chrono::milliseconds ReadTimeout { 5000 };

    EntryTotals totalsFrom(const std::string& text)
    {
        EntryTotals totals;
        std::istringstream lines(text);
        std::string line;
        while (std::getline(lines, line)) {
            std::size_t space = line.rfind(' ');
            if (line.starts_with('#') || space == std::string::npos)
                continue;
            double value = std::strtod(line.c_str() + space, nullptr);
            std::string name = line.substr(0, space);
            if (name == "process_cpu_seconds_total")
                totals.processorTime = std::chrono::duration<double> { value };
            else if (name == "peridot_tokens_total")
                totals.tokens = value;
            else if (name == "peridot_requests_total{kind=\"model\"}")
                totals.requests = value;
            else if (name == "process_resident_memory_bytes")
                totals.residentBytes = value;
        }
        return totals;
    }

} // namespace

asio::awaitable<std::optional<EntryTotals>> readEntryTotals(asio::any_io_executor executor, Endpoint admin)
{
    if (admin.port == 0)
        co_return std::nullopt;
    HttpClient client(executor, admin);
    HttpRequest request;
    request.target = "/metrics";
    auto result = co_await client.send(std::move(request), ReadTimeout);
    auto* response = std::get_if<HttpResponse>(&result);
    if (response == nullptr || response->status != 200)
        co_return std::nullopt;
    co_return totalsFrom(response->body);
}

std::string costText(
    const EntryTotals& before, const EntryTotals& after, std::chrono::duration<double> elapsed)
{
    double processor = (after.processorTime - before.processorTime).count();
    double tokens = after.tokens - before.tokens;
    double requests = after.requests - before.requests;
    constexpr double MicrosecondsPerSecond = 1e6;
    constexpr double BytesPerMebibyte = 1024 * 1024;
    char text[256];
    std::snprintf(text, sizeof(text),
        "entry cores=%.3f processor_us_per_token=%.2f processor_us_per_request=%.1f resident_mib=%.1f "
        "tokens=%.0f",
        processor / elapsed.count(), tokens > 0 ? processor * MicrosecondsPerSecond / tokens : 0,
        requests > 0 ? processor * MicrosecondsPerSecond / requests : 0,
        after.residentBytes / BytesPerMebibyte, tokens);
    return text;
}

} // namespace peridotgrade::load
