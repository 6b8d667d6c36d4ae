// Blocking HTTP client for the admin addresses of nodes.
#pragma once

#include "peridotgrade/net/endpoint.h"
#include "peridotgrade/net/http_message.h"
#include "peridotgrade/net/net_error.h"

#include <chrono>
#include <string>
#include <variant>
#include <vector>

namespace peridotgrade::ctl {

struct NodeAnswer {
    Endpoint node;
    std::variant<HttpResponse, NetError> result;
};

/// Sends requests with an operator's key and blocks until each is answered or has timed out.
class NodeClient {
public:
    NodeClient(std::string key, std::chrono::milliseconds timeout);

    /// Sends the same request to all nodes concurrently; answers are in the order of `nodes`.
    std::vector<NodeAnswer> sendToAll(const std::vector<Endpoint>& nodes, const HttpRequest& request) const;

    /// Sends the request to the first node that accepts a connection. A request that may have arrived is not
    /// repeated at another node.
    NodeAnswer sendToFirstReachable(const std::vector<Endpoint>& nodes, const HttpRequest& request) const;

    void pause(std::chrono::milliseconds time) const;

private:
    std::string key;
    std::chrono::milliseconds timeout;
};

} // namespace peridotgrade::ctl
