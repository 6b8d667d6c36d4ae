// Detects on the VM list that the agent's VM is leaving.
#pragma once

#include "peridotgrade/net/endpoint.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>
#include <string>

namespace peridotgrade {

/// Polls the VM list and calls `onLeaving` once, when the VM is listed as leaving. A list that cannot be read
/// or does not contain the VM is ignored, since the list lags.
class VmLeavingWatcher {
public:
    VmLeavingWatcher(boost::asio::any_io_executor executor, Endpoint platform, std::string vmName,
        std::function<void()> onLeaving);
    ~VmLeavingWatcher();
    VmLeavingWatcher(const VmLeavingWatcher&) = delete;
    VmLeavingWatcher& operator=(const VmLeavingWatcher&) = delete;

    void start();
    void stop();

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace peridotgrade
