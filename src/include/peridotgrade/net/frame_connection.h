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
    /// Bytes that may be queued for a peer that does not read; beyond this the connection is closed.
    std::uint64_t maxQueuedBytes = 32 * 1024 * 1024;
    std::chrono::milliseconds connectTimeout { 2000 };
    /// A peer that acknowledges nothing for this long, neither data nor probes, is considered dead.
    std::chrono::milliseconds peerTimeout { 6000 };
};

/// Traffic of one connection, frame headers included.
struct FrameTraffic {
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t framesSent = 0;
    std::uint64_t framesReceived = 0;
};

/// Callbacks of the owner of a connection, both called on the connection's strand.
struct FrameHandlers {
    /// Gets one complete frame; the bytes are valid during the call.
    std::function<void(std::string_view frame)> onFrame;
    /// The last call. It is made exactly once, whichever side closed; the handlers are destroyed after it.
    std::function<void(const NetError& reason)> onClosed;
};

/// One connection, with four bytes of length, most significant first, before each frame. Frames sent while a
/// write is in progress are written together by the next one. An open connection keeps itself alive: dropping
/// the last reference does not close it, `close` does. All calls are thread safe.
class FrameConnection {
public:
    virtual ~FrameConnection() = default;

    /// Starts reading. Must be called once; until then nothing is read and `onClosed` is not called.
    virtual void start(FrameHandlers handlers) = 0;
    /// Queues a frame. False if the connection is closed, or is closed now because the frame or the queue is
    /// too large; the frame then certainly does not arrive complete.
    virtual bool send(std::string_view frame) = 0;
    virtual void close() = 0;
    virtual FrameTraffic traffic() const = 0;
};

} // namespace peridotgrade
