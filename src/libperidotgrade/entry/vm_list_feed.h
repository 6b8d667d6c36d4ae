// Polls the platform's VM list and passes it to all shards.
#pragma once

#include "admission.h"

#include "peridotgrade/entry/entry_context.h"
#include "peridotgrade/services/vm_list_client.h"

#include <boost/asio/steady_timer.hpp>

#include <mutex>

namespace peridotgrade {

/// Passes each changed list to all shards. While the list is unreachable, the last one stays in force. Runs
/// on one strand.
class VmListFeed {
public:
    VmListFeed(boost::asio::any_io_executor strand, EntryContext& context, Admission& admission);

    void start();
    void stop();
    /// Returns the list that was read last. Thread safe.
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
    /// Guarded by `mutex`; written on the strand only, which therefore reads it without the lock.
    std::vector<VmRecord> lastVms;
    bool isReachable = true;
    bool isStopped = false;
};

} // namespace peridotgrade
