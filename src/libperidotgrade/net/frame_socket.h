// A frame connection over an Asio socket.
#pragma once

#include "peridotgrade/net/frame_connection.h"

#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace peridotgrade {

/// Reads and writes on the strand of its socket; `send` may be called from any thread.
class FrameSocket final : public FrameConnection, public std::enable_shared_from_this<FrameSocket> {
public:
    /// The socket's executor must be a strand.
    FrameSocket(boost::asio::ip::tcp::socket socket, FrameSettings settings);

    void start(FrameHandlers handlers) override;
    bool send(std::string_view frame) override;
    void close() override;
    FrameTraffic traffic() const override;

private:
    void setOptions();
    void read();
    void onRead(const boost::system::error_code& error, std::size_t bytes);
    /// Passes complete frames to the handler. Returns the reason to close the connection if the length of a
    /// frame exceeds the limit.
    std::optional<NetError> processFrames();
    void prepareInput();
    void write();
    void onWritten(const boost::system::error_code& error);
    void postWrite();
    void end(NetError reason);

    boost::asio::ip::tcp::socket socket;
    const FrameSettings settings;
    FrameHandlers handlers;
    bool hasEnded = false;

    std::vector<char> input;
    /// Invariant: inputBegin <= inputEnd <= input.size(); the bytes between them have been read and not yet
    /// processed.
    std::size_t inputBegin = 0;
    std::size_t inputEnd = 0;

    mutable std::mutex mutex;
    /// Queued frames with their headers. Guarded by `mutex`.
    std::string queued;
    /// Invariant: at most one write is in progress or posted. Guarded by `mutex`.
    bool isWriting = false;
    bool isClosed = false;
    /// The bytes of the write in progress; used on the strand only.
    std::string writing;

    std::atomic<std::uint64_t> bytesSent = 0;
    std::atomic<std::uint64_t> bytesReceived = 0;
    std::atomic<std::uint64_t> framesSent = 0;
    std::atomic<std::uint64_t> framesReceived = 0;
};

} // namespace peridotgrade
