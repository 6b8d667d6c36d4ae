// Opening of a listening socket, the same for HTTP and frames.
#pragma once

#include "peridotgrade/net/endpoint.h"
#include "peridotgrade/net/net_error.h"

#include <boost/asio/ip/tcp.hpp>

#include <variant>

namespace peridotgrade {

/// Binds the acceptor and listens; gives the endpoint with the port that is in use.
std::variant<Endpoint, NetError> listenOn(boost::asio::ip::tcp::acceptor& acceptor, const Endpoint& listen);

} // namespace peridotgrade
