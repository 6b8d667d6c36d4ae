// The fake platform's list of VMs, which becomes visible with a configurable lag.
#pragma once

#include "../common/control_port.h"
#include "../common/now.h"

#include "peridotgrade/net/http_message.h"

#include <boost/json/array.hpp>

#include <cstdint>
#include <deque>

namespace peridotgrade::standins {

/// Keeps recent versions of the list and serves the one that was current `lagMs` ago. Not thread safe.
class VmList {
public:
    explicit VmList(std::uint64_t lagMs);

    /// Switches `vms` (the whole list), `add_vm`, `remove_vm` (name), `leave_vm` (name), `vm_lag_ms`.
    void addSwitches(ControlPort& control);

    boost::json::array visible();

    /// Answers `GET /vms` with the full list or with the VM `name`; 304 if `If-None-Match` has the current
    /// ETag.
    HttpResponse answer(const HttpRequest& request);

private:
    struct ListVersion {
        StandinClock::time_point since;
        boost::json::array vms;
    };

    void add(const boost::json::value& vm);
    void remove(const boost::json::value& name);
    void markLeaving(const boost::json::value& name);
    void publish(boost::json::array vms);

    std::uint64_t lagMs;
    /// Invariant: never empty, in order of time.
    std::deque<ListVersion> versions;
};

} // namespace peridotgrade::standins
