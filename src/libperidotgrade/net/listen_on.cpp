// Opens a listening socket, for HTTP and for frames.
#include "listen_on.h"

namespace peridotgrade {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

std::variant<Endpoint, NetError> listenOn(tcp::acceptor& acceptor, const Endpoint& listen)
{
    boost::system::error_code error;
    tcp::endpoint endpoint(asio::ip::make_address(listen.address, error), listen.port);
    if (!error)
        acceptor.open(endpoint.protocol(), error);
    if (!error)
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor.bind(endpoint, error);
    if (!error)
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return NetError { NetErrorKind::CannotListen, false, toString(listen) + ": " + error.message() };
    auto bound = acceptor.local_endpoint();
    return Endpoint { bound.address().to_string(), bound.port() };
}

} // namespace peridotgrade
