// Polls the platform's VM list for all shards.
#pragma once

#include "admission.h"

#include "peridotgrade/entry/entry_context.h"
#include "peridotgrade/services/vm_list_client.h"

#include <boost/asio/steady_timer.hpp>

#include <mutex>

namespace peridotgrade {

/// Each list read goes to every shard; while the list is out of reach the last one holds. Runs on one strand.
class VmListFeed {
public:
    VmListFeed(boost::asio::any_io_executor strand, EntryContext& context, Admission& admission);

    void start();
    void stop();
    /// The list read last. Thread safe.
    std::vector<VmRecord> current() const;

private:
    boost::asio::awaitable<void> pollUntilStopped();
    void apply(std::vector<VmRecord> vms);

    const boost::asio::any_io_executor strand;
    EntryContext& context;
    Admission& admission;
    VmListClient client;
    boost::asio::steady_timer pollTimer;
    mutable std::mutex mutex;
    /// Written on the strand only. Guarded by `mutex`.
    std::vector<VmRecord> lastVms;
    bool isReachable = true;
    bool isStopped = false;
};

} // namespace peridotgrade
