// A frame connection over an Asio socket.
#include "frame_socket.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>

#include <netinet/tcp.h>

#include <algorithm>
#include <cstring>

namespace peridotgrade {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

    constexpr std::size_t HeaderBytes = 4;
    constexpr std::size_t MinReadBytes = 16 * 1024;
    // An input buffer that has grown beyond this size for a large frame is freed once it is empty.
    constexpr std::size_t MaxIdleBufferBytes = 256 * 1024;
    constexpr int MaxKeepaliveProbes = 3;

    using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    using KeepaliveIdle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
    using KeepaliveInterval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
    using KeepaliveCount = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;

    void appendHeader(std::string& out, std::size_t size)
    {
        std::uint32_t length = boost::endian::native_to_big(static_cast<std::uint32_t>(size));
        char bytes[HeaderBytes];
        std::memcpy(bytes, &length, HeaderBytes);
        out.append(bytes, HeaderBytes);
    }

    std::size_t readHeader(const char* bytes)
    {
        std::uint32_t length = 0;
        std::memcpy(&length, bytes, HeaderBytes);
        return boost::endian::big_to_native(length);
    }

    NetError closeReason(const boost::system::error_code& error)
    {
        bool isTimeout = error == asio::error::timed_out;
        return NetError { isTimeout ? NetErrorKind::TimedOut : NetErrorKind::Closed, true, error.message() };
    }

} // namespace

FrameSocket::FrameSocket(tcp::socket socket, FrameSettings settings)
    : socket(std::move(socket))
    , settings(settings)
{
    this->setOptions();
}

void FrameSocket::setOptions()
{
    // A connection without these options still works, but detects a dead peer later.
    boost::system::error_code ignored;
    auto timeout = static_cast<int>(this->settings.peerTimeout.count());
    auto seconds = static_cast<int>(std::max<std::int64_t>(
        1, std::chrono::floor<std::chrono::seconds>(this->settings.peerTimeout).count()));
    this->socket.set_option(tcp::no_delay(true), ignored);
    this->socket.set_option(asio::socket_base::keep_alive(true), ignored);
    this->socket.set_option(KeepaliveIdle(std::max(1, seconds / 2)), ignored);
    this->socket.set_option(KeepaliveInterval(std::max(1, seconds / (2 * MaxKeepaliveProbes))), ignored);
    this->socket.set_option(KeepaliveCount(MaxKeepaliveProbes), ignored);
    this->socket.set_option(UserTimeout(timeout), ignored);
}

void FrameSocket::start(FrameHandlers handlers)
{
    asio::dispatch(this->socket.get_executor(),
        [self = this->shared_from_this(), handlers = std::move(handlers)]() mutable {
            self->handlers = std::move(handlers);
            self->read();
        });
}

bool FrameSocket::send(std::string_view frame)
{
    std::lock_guard lock(this->mutex);
    if (this->isClosed)
        return false;
    bool isTooLarge = frame.size() > this->settings.maxFrameBytes;
    if (isTooLarge || this->queued.size() + frame.size() > this->settings.maxQueuedBytes) {
        this->isClosed = true;
        NetError reason { NetErrorKind::TooLarge, true,
            isTooLarge ? "frame too large" : "send queue full: peer does not read" };
        asio::post(this->socket.get_executor(),
            [self = this->shared_from_this(), reason = std::move(reason)] { self->end(reason); });
        return false;
    }
    appendHeader(this->queued, frame.size());
    this->queued.append(frame);
    this->framesSent.fetch_add(1, std::memory_order_relaxed);
    if (!this->isWriting)
        this->postWrite();
    return true;
}

void FrameSocket::postWrite()
{
    this->isWriting = true;
    asio::post(this->socket.get_executor(), [self = this->shared_from_this()] { self->write(); });
}

void FrameSocket::write()
{
    {
        std::lock_guard lock(this->mutex);
        if (this->isClosed)
            return;
        this->writing.clear();
        std::swap(this->writing, this->queued);
    }
    asio::async_write(this->socket, asio::buffer(this->writing),
        [self = this->shared_from_this()](
            const boost::system::error_code& error, std::size_t) { self->onWritten(error); });
}

void FrameSocket::onWritten(const boost::system::error_code& error)
{
    if (error) {
        this->end(closeReason(error));
        return;
    }
    this->bytesSent.fetch_add(this->writing.size(), std::memory_order_relaxed);
    std::unique_lock lock(this->mutex);
    if (this->queued.empty()) {
        this->isWriting = false;
        return;
    }
    lock.unlock();
    this->write();
}

void FrameSocket::read()
{
    if (this->hasEnded)
        return;
    this->prepareInput();
    auto space = asio::buffer(this->input.data() + this->inputEnd, this->input.size() - this->inputEnd);
    this->socket.async_read_some(
        space, [self = this->shared_from_this()](const boost::system::error_code& error, std::size_t bytes) {
            self->onRead(error, bytes);
        });
}

void FrameSocket::prepareInput()
{
    std::size_t held = this->inputEnd - this->inputBegin;
    if (this->inputBegin > 0)
        std::memmove(this->input.data(), this->input.data() + this->inputBegin, held);
    this->inputBegin = 0;
    this->inputEnd = held;
    if (held == 0 && this->input.size() > MaxIdleBufferBytes)
        std::vector<char>().swap(this->input);
    // The buffer grows with the bytes received, not with the length that a header claims.
    if (this->input.size() < held + MinReadBytes)
        this->input.resize(std::max(MinReadBytes, 2 * held));
}

void FrameSocket::onRead(const boost::system::error_code& error, std::size_t bytes)
{
    if (error) {
        this->end(closeReason(error));
        return;
    }
    this->inputEnd += bytes;
    this->bytesReceived.fetch_add(bytes, std::memory_order_relaxed);
    auto limitError = this->processFrames();
    if (limitError) {
        this->end(std::move(*limitError));
        return;
    }
    this->read();
}

std::optional<NetError> FrameSocket::processFrames()
{
    while (!this->hasEnded && this->inputEnd - this->inputBegin >= HeaderBytes) {
        const char* header = this->input.data() + this->inputBegin;
        std::size_t size = readHeader(header);
        if (size > this->settings.maxFrameBytes)
            return NetError { NetErrorKind::TooLarge, true,
                "frame too large: " + std::to_string(size) + " bytes" };
        if (this->inputEnd - this->inputBegin < HeaderBytes + size)
            return std::nullopt;
        this->inputBegin += HeaderBytes + size;
        this->framesReceived.fetch_add(1, std::memory_order_relaxed);
        this->handlers.onFrame(std::string_view { header + HeaderBytes, size });
    }
    return std::nullopt;
}

void FrameSocket::close()
{
    {
        std::lock_guard lock(this->mutex);
        this->isClosed = true;
    }
    asio::post(this->socket.get_executor(), [self = this->shared_from_this()] {
        self->end(NetError { NetErrorKind::Closed, true, "closed locally" });
    });
}

void FrameSocket::end(NetError reason)
{
    if (this->hasEnded)
        return;
    this->hasEnded = true;
    {
        std::lock_guard lock(this->mutex);
        this->isClosed = true;
        this->queued.clear();
    }
    boost::system::error_code ignored;
    this->socket.close(ignored);
    // The handlers may own this connection; moving them out breaks the reference cycle.
    FrameHandlers last = std::move(this->handlers);
    this->handlers = FrameHandlers {};
    if (last.onClosed)
        last.onClosed(reason);
}

FrameTraffic FrameSocket::traffic() const
{
    FrameTraffic result;
    result.bytesSent = this->bytesSent.load(std::memory_order_relaxed);
    result.bytesReceived = this->bytesReceived.load(std::memory_order_relaxed);
    result.framesSent = this->framesSent.load(std::memory_order_relaxed);
    result.framesReceived = this->framesReceived.load(std::memory_order_relaxed);
    return result;
}

} // namespace peridotgrade
