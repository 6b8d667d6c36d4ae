// Length-prefixed frames over TCP: one connection, for either side.
#pragma once

#include "peridotgrade/net/net_error.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace peridotgrade {

/// Limits of a connection.
struct FrameSettings {
    std::uint32_t maxFrameBytes = 8 * 1024 * 1024;
    /// Bytes that may wait for a peer that does not read; beyond it the connection is closed.
    std::uint64_t maxQueuedBytes = 32 * 1024 * 1024;
    std::chrono::milliseconds connectTimeout { 2000 };
    /// A peer that acknowledges nothing for this long, sent data or probes, counts as gone.
    std::chrono::milliseconds peerTimeout { 6000 };
};

/// What one connection has carried, headers included.
struct FrameTraffic {
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t framesSent = 0;
    std::uint64_t framesReceived = 0;
};

/// What the owner of a connection wants to hear. Both are called on the connection's strand.
struct FrameHandlers {
    /// One whole frame; the bytes are valid during the call.
    std::function<void(std::string_view frame)> onFrame;
    /// The last call. Comes exactly once, whoever closed; handlers are destroyed after it.
    std::function<void(const NetError& reason)> onClosed;
};

/// One connection: four bytes of length, most significant first, before each frame. Frames sent while a write
/// is under way leave together in the next one. An open connection keeps itself alive; dropping the last
/// reference does not close it, `close` does. All calls are thread safe.
class FrameConnection {
public:
    virtual ~FrameConnection() = default;

    /// Begins to read. To be called once; until then nothing is read and `onClosed` does not come.
    virtual void start(FrameHandlers handlers) = 0;
    /// Queues a frame. False if the connection is closed, or is closed now because the frame or the queue is
    /// too large; then the frame surely does not arrive whole.
    virtual bool send(std::string_view frame) = 0;
    virtual void close() = 0;
    virtual FrameTraffic traffic() const = 0;
};

} // namespace peridotgrade
