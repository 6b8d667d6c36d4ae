// The processes that peridotctl calls.
#pragma once

#include "peridotgrade/net/endpoint.h"
#include "peridotgrade/ops/settings/settings_error.h"

#include <string>
#include <variant>
#include <vector>

namespace peridotgrade::ctl {

/// Admin addresses of a site's processes.
struct Site {
    /// Plans and confirmations go to the first entry that accepts a connection.
    std::vector<Endpoint> entries;
    std::vector<Endpoint> agents;

    std::vector<Endpoint> all() const;
};

/// Reads `{"entries":["ip:port",…],"agents":["ip:port",…]}`.
std::variant<Site, SettingsError> readSite(const std::string& path);

} // namespace peridotgrade::ctl
