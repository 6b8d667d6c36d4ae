// Parsing and formatting of endpoints.
#include "peridotgrade/net/endpoint.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace peridotgrade {

std::optional<Endpoint> parseEndpoint(std::string_view text)
{
    auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon + 1 == text.size())
        return std::nullopt;
    std::string_view host = text.substr(0, colon);
    std::string_view digits = text.substr(colon + 1);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    boost::system::error_code error;
    auto address = boost::asio::ip::make_address(std::string { host }, error);
    if (error)
        return std::nullopt;
    std::uint16_t port = 0;
    auto [end, status] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (status != std::errc {} || end != digits.data() + digits.size())
        return std::nullopt;
    return Endpoint { address.to_string(), port };
}

std::string toString(const Endpoint& endpoint)
{
    bool isV6 = endpoint.address.find(':') != std::string::npos;
    std::string host = isV6 ? "[" + endpoint.address + "]" : endpoint.address;
    return host + ":" + std::to_string(endpoint.port);
}

} // namespace peridotgrade
