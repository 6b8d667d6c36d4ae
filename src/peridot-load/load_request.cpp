// Random generation of the requests of a load run.
#include "load_request.h"

#include "../standins/engine/answer.h"

#include <algorithm>
#include <cmath>

namespace peridotgrade::load {

namespace {
    constexpr double MaxSizeOverMedian = 10;
    constexpr double TwoPi = 6.283185307179586;
} // namespace

std::uint32_t LoadRequestSource::drawSize(std::uint32_t median)
{
    // Box-Muller transform, because the standard library's distributions differ between platforms.
    double radius = std::sqrt(-2 * std::log(1 - this->random.unit()));
    double normal = radius * std::cos(TwoPi * this->random.unit());
    double factor = std::min(MaxSizeOverMedian, std::exp(this->shape.sizeSpread * normal));
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(std::lround(median * factor)));
}

LoadRequest LoadRequestSource::next()
{
    LoadRequest request;
    request.maxTokens = this->drawSize(this->shape.outputTokens);
    std::string head = std::to_string(++this->count) + "/" + std::to_string(this->random.next())
        + " !!length " + std::to_string(request.maxTokens) + "!! ";
    request.prompt = std::move(head);
    std::size_t bytes = this->drawSize(this->shape.promptTokens) * standins::PieceBytes;
    while (request.prompt.size() < bytes)
        request.prompt += "lawn feed ";
    return request;
}

Duration LoadRequestSource::nextGap(double requestsPerSecond)
{
    double seconds = -std::log(1 - this->random.unit()) / requestsPerSecond;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double> { seconds });
}

} // namespace peridotgrade::load
