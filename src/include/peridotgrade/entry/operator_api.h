// Where the operators' interface is mounted.
#pragma once

#include "peridotgrade/net/http_server.h"
#include "peridotgrade/ops/settings/entry_settings.h"

namespace peridotgrade {

/// Serves all requests below `/operator/` on the admin port. The caller has proved to be `operatorName`; each
/// call answers the exchange.
class OperatorApi {
public:
    virtual ~OperatorApi() = default;
    virtual boost::asio::awaitable<void> handle(HttpExchange& exchange, std::string operatorName) = 0;
};

} // namespace peridotgrade
