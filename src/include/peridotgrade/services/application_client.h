// The agent's HTTP client for its application server.
#pragma once

#include "peridotgrade/core/actions/action_host.h"
#include "peridotgrade/net/endpoint.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>

namespace peridotgrade {

/// Forwards calls to one application server. An action is sent once, on a connection of its own; without a
/// complete response it counts as lost. A response without length and chunks may be a part of one and is not
/// complete. Thread safe.
class ApplicationClient {
public:
    /// Called exactly once for each call, on the client's strand.
    using EndHandler = std::function<void(
        ApplicationCallId number, ApplicationCallResult result, ApplicationAnswer answer)>;

    ApplicationClient(boost::asio::any_io_executor executor, Endpoint server, EndHandler onEnded);
    ~ApplicationClient();
    ApplicationClient(const ApplicationClient&) = delete;
    ApplicationClient& operator=(const ApplicationClient&) = delete;

    void call(CallApplication call);

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace peridotgrade
