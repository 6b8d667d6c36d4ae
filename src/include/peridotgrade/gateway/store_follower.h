// Keeps the gateway's configuration and servers up to date with the platform's store.
#pragma once

#include "peridotgrade/gateway/store_watch.h"

#include <memory>

namespace peridotgrade {

/// Applies new configurations, never an older one, and the records of the server list.
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
