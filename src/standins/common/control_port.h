// The second port of each fake server, through which tests inject faults and read counters.
#pragma once

#include "peridotgrade/net/http_server.h"

#include <boost/json/object.hpp>

#include <functional>
#include <map>
#include <string>

namespace peridotgrade::standins {

/// Serves `POST /control`, whose body is a JSON object of switches, and `GET /control`, which returns the
/// state and counters of the fake server. A request with an unknown switch is rejected, and none of its
/// switches is applied. Not thread safe.
class ControlPort {
public:
    using Switch = std::function<void(const boost::json::value&)>;
    using Snapshot = std::function<boost::json::object()>;

    void addSwitch(std::string name, Switch apply);
    /// Adds a switch that sets `target`, which is a bool or of any numeric type.
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
