// Finds out whether a server whose connection was lost has ended.
#pragma once

#include "peridotgrade/core/base/time.h"
#include "peridotgrade/core/serving/server_record.h"
#include "platform/server_client.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <map>
#include <memory>

namespace peridotgrade {

struct ServerProbeResult {
    /// The server's address refuses connections.
    bool isRefused = false;
    /// The result is that of a probe that another call had begun.
    bool isShared = false;
    TimePoint beganAt {};
};

/// Connects to the server's address: nothing listens there once its process has ended. Not thread safe.
class ServerEndProbe {
public:
    explicit ServerEndProbe(boost::asio::any_io_executor executor)
        : executor(std::move(executor))
    {
    }

    /// For requests that wait. An accepted connection soon counts as that of a process that goes on, although
    /// it may be ending. Calls at the same time share one connection, but for the result that the address
    /// accepted a connection before a call.
    boost::asio::awaitable<ServerProbeResult> run(std::shared_ptr<ServerClient> server);
    /// Waits for longer whether a process that still accepts connections ends, and connects again at last.
    /// Shares no result.
    boost::asio::awaitable<ServerProbeResult> runLonger(std::shared_ptr<ServerClient> server);

private:
    struct Probe;

    boost::asio::any_io_executor executor;
    std::map<ServerId, std::shared_ptr<Probe>> running;
};

} // namespace peridotgrade
