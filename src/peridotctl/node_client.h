// Calls admin addresses and waits for the answers.
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

/// Sends requests with an operator's key. Blocks until all answers or time-outs are there.
class NodeClient {
public:
    NodeClient(std::string key, std::chrono::milliseconds timeout);

    /// The same request to all nodes at once; answers in the nodes' order.
    std::vector<NodeAnswer> sendToAll(const std::vector<Endpoint>& nodes, const HttpRequest& request) const;

    /// To the first node that can be connected to. A request that may have arrived is not sent again.
    NodeAnswer sendToFirstReachable(const std::vector<Endpoint>& nodes, const HttpRequest& request) const;

    void pause(std::chrono::milliseconds time) const;

private:
    std::string key;
    std::chrono::milliseconds timeout;
};

} // namespace peridotgrade::ctl
