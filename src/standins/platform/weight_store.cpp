// Rate-limited downloads of model weights.
#include "weight_store.h"

#include "../common/json_body.h"
#include "../common/pause.h"

#include <algorithm>

namespace peridotgrade::standins {

namespace {
    constexpr std::uint64_t ChunkBytes = 64 * 1024;
    constexpr std::uint64_t NanosPerSecond = 1'000'000'000;
} // namespace

WeightStore::WeightStore(std::uint64_t weightBytes, std::uint64_t bytesPerSecond)
    : weightBytes(weightBytes)
    , bytesPerSecond(bytesPerSecond)
{
}

void WeightStore::addSwitches(ControlPort& control)
{
    control.addVariable("weight_bytes", this->weightBytes);
    control.addVariable("weight_bytes_per_second", this->bytesPerSecond);
    control.addVariable("weights_down", this->isDown);
}

boost::asio::awaitable<void> WeightStore::serve(HttpExchange& exchange)
{
    if (this->isDown) {
        HttpResponse down = errorResponse(503, "unavailable", "the weight store is down");
        co_await exchange.respond(std::move(down));
        co_return;
    }
    HttpResponse head;
    head.contentType = "application/octet-stream";
    bool isConnected = co_await exchange.beginStream(std::move(head));
    std::uint64_t bytesLeft = this->weightBytes;
    while (isConnected && bytesLeft > 0) {
        std::uint64_t size = std::min(bytesLeft, ChunkBytes);
        std::chrono::nanoseconds cost { size * NanosPerSecond
            / std::max<std::uint64_t>(1, this->bytesPerSecond) };
        auto now = StandinClock::now();
        this->linkFreeAt = std::max(now, this->linkFreeAt) + cost;
        co_await pause(exchange.executor(), this->linkFreeAt - now);
        std::string chunk(size, '\0');
        isConnected = co_await exchange.writeChunk(std::move(chunk));
        bytesLeft -= size;
    }
    if (isConnected)
        co_await exchange.endStream();
}

} // namespace peridotgrade::standins
