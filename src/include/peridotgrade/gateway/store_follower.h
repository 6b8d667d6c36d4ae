// Keeps the gateway's configuration and servers in step with the platform's store.
#pragma once

#include "peridotgrade/gateway/store_watch.h"

#include <memory>

namespace peridotgrade {

/// Puts new configurations in force, never an older one, and folds the list of servers.
class StoreFollower {
public:
    StoreFollower(GatewayState& state, StoreClient& store);
    void start();

private:
    void applyConfiguration(const std::vector<StoreRecord>& records);
    void applyServers(const std::vector<StoreRecord>& records);
    void replaceServers(const StoreListing& listing);
    void expireLater();

    GatewayState& state;
    StoreWatch configurationWatch;
    StoreWatch serverWatch;
};

} // namespace peridotgrade
