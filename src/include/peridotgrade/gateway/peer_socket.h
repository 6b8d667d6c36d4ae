// Datagrams between the gateways of a group.
#pragma once

#include "peridotgrade/net/endpoint.h"
#include "peridotgrade/net/net_error.h"

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace peridotgrade {

/// Sends and receives small datagrams over UDP. Those that do not come from a known peer are dropped. A
/// datagram may be lost or repeated, also because the buffer of the socket is full. Several components share
/// it: the first byte of a datagram decides which one gets it. All calls must run on the given executor.
class PeerSocket {
public:
    static constexpr std::size_t MaxDatagramBytes = 1200;
    using Handler = std::function<void(const Endpoint& from, std::string_view datagram)>;

    explicit PeerSocket(boost::asio::any_io_executor executor);
    ~PeerSocket();
    PeerSocket(const PeerSocket&) = delete;
    PeerSocket& operator=(const PeerSocket&) = delete;

    std::optional<NetError> listen(const Endpoint& address);
    /// Datagrams with this first byte go to `handler`.
    void setHandler(std::uint8_t firstByte, Handler handler);
    /// All others go to `handler`, also empty ones. Without a handler a datagram is dropped.
    void setDefaultHandler(Handler handler);
    /// Datagrams are accepted from these addresses only.
    void setPeers(std::set<Endpoint> peers);
    void send(const Endpoint& to, std::string_view datagram);
    /// Datagrams that were dropped: too large, from unknown senders, without a handler, or not sent.
    std::uint64_t dropped() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace peridotgrade
