// The fake platform's rate-limited store of model weights.
#pragma once

#include "../common/control_port.h"
#include "../common/now.h"

#include <cstdint>

namespace peridotgrade::standins {

/// Serves every model version as `weightBytes` zero bytes; all downloads share one bandwidth limit. Not
/// thread safe.
class WeightStore {
public:
    WeightStore(std::uint64_t weightBytes, std::uint64_t bytesPerSecond);

    void addSwitches(ControlPort& control);
    boost::asio::awaitable<void> serve(HttpExchange& exchange);

private:
    std::uint64_t weightBytes;
    std::uint64_t bytesPerSecond;
    /// Downloads are answered with status 503.
    bool isDown = false;
    StandinClock::time_point linkFreeAt;
};

} // namespace peridotgrade::standins
