// Shares the crashes of servers with the other entries through a topic of the store.
#pragma once

#include "peridotgrade/gateway/gateway_state.h"
#include "peridotgrade/gateway/store_watch.h"
#include "platform/store_client.h"

#include <boost/asio/awaitable.hpp>

#include <deque>
#include <map>
#include <string>

namespace peridotgrade {

/// Publishes the crashes that this entry has seen, at once, and applies those of the others. The topic is
/// keyed, with one record for each suspect and crash, so that entries never overwrite each other's records
/// and repeating one has no effect. A record without a value withdraws it. The right to a trial of a request
/// on probation is claimed by a record too, which is appended only if the topic ends where this entry has
/// read to. While the store is away, each entry counts what it knows, and publishes the rest when the store
/// is back. Runs on the gateway's thread.
class CrashLog {
public:
    CrashLog(GatewayState& state, StoreClient& store);

    void start();
    /// False until the topic has been read, or could not be: an entry that starts knows what is quarantined
    /// before it takes any request.
    bool isStarted() const { return this->hasRead || this->hasFailed; }

private:
    void apply(const std::vector<StoreRecord>& records);
    /// The store has come back from an older copy, which may lack what was published last.
    void republish();
    void publishSoon(StoreRecord record);
    boost::asio::awaitable<void> publish();
    /// A record that this entry has dropped for room is withdrawn, unless another entry does so first.
    void noteDropped(const CrashRecord& record);
    void withdrawSurplusLater();
    void withdrawSurplus();
    void expireLater();
    /// Gets the right to a trial if nothing has been published that this entry has not read, other claims
    /// included.
    boost::asio::awaitable<bool> claimTrial(Suspect suspect);
    void logQuarantined(const Suspect& suspect);
    void logProbation(const Suspect& suspect);
    std::string serversOf(const Suspect& suspect) const;

    GatewayState& state;
    StoreClient& store;
    StoreWatch watch;
    std::deque<StoreRecord> unpublished;
    /// Keys of records to withdraw, with their suspects. Invariant: bounded.
    std::map<std::string, Suspect> surplus;
    bool isWithdrawing = false;
    /// More has been dropped than `surplus` takes; another listing shows the rest.
    bool hasMoreSurplus = false;
    bool isPublishing = false;
    bool hasRead = false;
    bool hasFailed = false;
};

} // namespace peridotgrade
