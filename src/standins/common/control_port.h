// The second port of each stand-in, where tests switch faults on.
#pragma once

#include "peridotgrade/net/http_server.h"

#include <boost/json/object.hpp>

#include <functional>
#include <map>
#include <string>

namespace peridotgrade::standins {

/// Serves `POST /control` with an object of switches, of which an unknown one is refused and nothing applied,
/// and `GET /control` with the state and counts of the stand-in. Not thread safe.
class ControlPort {
public:
    using Switch = std::function<void(const boost::json::value&)>;
    using Snapshot = std::function<boost::json::object()>;

    void addSwitch(std::string name, Switch apply);
    /// A switch that sets `target`, a number of any kind or a bool.
    template <typename Target> void addVariable(std::string name, Target& target);
    void setSnapshot(Snapshot snapshot);

    boost::asio::awaitable<void> serve(HttpExchange& exchange);

private:
    HttpResponse apply(const HttpRequest& request);

    std::map<std::string, Switch> switches;
    Snapshot snapshot;
};

template <typename Target> void ControlPort::addVariable(std::string name, Target& target)
{
    this->addSwitch(std::move(name), [&target](const boost::json::value& value) {
        if constexpr (std::is_same_v<Target, bool>)
            target = value.as_bool();
        else
            target = value.to_number<Target>();
    });
}

} // namespace peridotgrade::standins
