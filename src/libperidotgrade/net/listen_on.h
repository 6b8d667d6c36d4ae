// Opens a listening socket, for HTTP and for frames.
#pragma once

#include "peridotgrade/net/endpoint.h"
#include "peridotgrade/net/net_error.h"

#include <boost/asio/ip/tcp.hpp>

#include <variant>

namespace peridotgrade {

/// Binds the acceptor and listens; returns the endpoint with the actual port.
std::variant<Endpoint, NetError> listenOn(boost::asio::ip::tcp::acceptor& acceptor, const Endpoint& listen);

} // namespace peridotgrade
