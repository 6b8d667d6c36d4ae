// Sends requests to the admin addresses of nodes, concurrently.
#include "node_client.h"

#include "peridotgrade/net/http_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <utility>

namespace peridotgrade::ctl {

namespace asio = boost::asio;

namespace {

    asio::awaitable<void> sendOne(
        NodeAnswer& answer, HttpRequest request, std::chrono::milliseconds timeout, asio::io_context& context)
    {
        HttpClient client(context.get_executor(), answer.node);
        answer.result = co_await client.send(std::move(request), timeout, false);
    }

} // namespace

NodeClient::NodeClient(std::string key, std::chrono::milliseconds timeout)
    : key(std::move(key))
    , timeout(timeout)
{
}

std::vector<NodeAnswer> NodeClient::sendToAll(
    const std::vector<Endpoint>& nodes, const HttpRequest& request) const
{
    HttpRequest authorizedRequest = request;
    if (!this->key.empty())
        authorizedRequest.fields.push_back(HttpField { "Authorization", "Bearer " + this->key });
    std::vector<NodeAnswer> answers;
    for (const Endpoint& node : nodes)
        answers.push_back({ node, NetError {} });
    asio::io_context context(1);
    for (NodeAnswer& answer : answers)
        asio::co_spawn(context, sendOne(answer, authorizedRequest, this->timeout, context), asio::detached);
    context.run();
    return answers;
}

NodeAnswer NodeClient::sendToFirstReachable(
    const std::vector<Endpoint>& nodes, const HttpRequest& request) const
{
    NodeAnswer last { Endpoint {},
        NetError { NetErrorKind::ConnectFailed, false, "no entry is configured" } };
    for (const Endpoint& node : nodes) {
        last = this->sendToAll({ node }, request).front();
        const auto* error = std::get_if<NetError>(&last.result);
        if (error == nullptr || error->mayHaveArrived)
            return last;
    }
    return last;
}

void NodeClient::pause(std::chrono::milliseconds time) const
{
    asio::io_context context(1);
    asio::steady_timer timer(context, time);
    timer.wait();
}

} // namespace peridotgrade::ctl
