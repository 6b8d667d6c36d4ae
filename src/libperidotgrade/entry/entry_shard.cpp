// Public functions of an entry shard, each of which takes its lock.
#include "peridotgrade/entry/entry_shard.h"

#include "entry_shard_impl.h"

namespace peridotgrade {

EntryShard::EntryShard(boost::asio::any_io_executor executor, EntryShardSettings settings, ShardHost& host,
    EventSink& events, HybridClock& clock)
    : impl(std::make_shared<Impl>(std::move(executor), std::move(settings), host, events, clock))
{
    this->impl->begin();
}

EntryShard::~EntryShard() { this->stop(); }

RequestId EntryShard::newRequestId()
{
    std::lock_guard lock(this->impl->mutex);
    RequestId id;
    bool isTaken = true;
    while (isTaken) {
        id = RequestId { this->impl->random.next() };
        isTaken = id == RequestId {} || this->impl->modelListeners.contains(id)
            || this->impl->callListeners.contains(id);
    }
    return id;
}

void EntryShard::submit(ModelRequest request, std::shared_ptr<ModelAnswerListener> listener)
{
    this->impl->run([&] {
        this->impl->modelListeners.emplace(request.id, std::move(listener));
        this->impl->models.submit(std::move(request));
    });
}

void EntryShard::submit(CallRequest request, std::shared_ptr<CallAnswerListener> listener)
{
    this->impl->run([&] {
        this->impl->callListeners.emplace(request.id, std::move(listener));
        this->impl->calls.submit(std::move(request), TimerDriver::wallNow());
    });
}

void EntryShard::cancel(RequestId request)
{
    this->impl->run([&] { this->impl->cancel(request); });
}

void EntryShard::onVmList(std::vector<VmRecord> vms)
{
    this->impl->run([&] {
        this->impl->membership.onVmList(std::move(vms));
        this->impl->refreshCandidates();
    });
}

void EntryShard::onConfiguration(std::shared_ptr<const ConfigurationInForce> configuration)
{
    this->impl->run([&] {
        this->impl->configuration = std::move(configuration);
        this->impl->refreshCandidates();
        this->impl->sendToAll(VersionNotice { this->impl->configuration->version });
    });
}

void EntryShard::onAppendResult(AppendId append, AppendResult result)
{
    this->impl->run([&] { this->impl->calls.onAppendResult(append, result); });
}

void EntryShard::onClaimRecords(const std::vector<LogRecord>& records)
{
    this->impl->run([&] { this->impl->calls.onRecords(records); });
}

void EntryShard::onClaimsCaughtUp(LogOffset offset, TimePoint readBegan)
{
    this->impl->run([&] { this->impl->calls.onCaughtUp(offset, readBegan); });
}

void EntryShard::onClaimsGap(LogOffset offset)
{
    this->impl->run([&] { this->impl->calls.onGap(offset); });
}

void EntryShard::setLogAvailable(bool isAvailable)
{
    this->impl->run([&] { this->impl->calls.setLogAvailable(isAvailable); });
}

void EntryShard::quarantine(const std::vector<Fingerprint>& fingerprints, bool notifiesAgents)
{
    this->impl->run([&] { this->impl->quarantineAll(fingerprints, notifiesAgents); });
}

void EntryShard::send(const AgentId& agent, const EntryMessage& message)
{
    this->impl->run([&] { this->impl->sendTo(agent, message); });
}

void EntryShard::sendToAll(const EntryMessage& message)
{
    this->impl->run([&] { this->impl->sendToAll(message); });
}

EntryShardStatus EntryShard::status() const
{
    std::lock_guard lock(this->impl->mutex);
    EntryShardStatus status;
    status.models = this->impl->models.counters();
    status.calls = this->impl->calls.counters();
    status.openRequests = this->impl->models.openRequests() + this->impl->calls.openRequests();
    status.heldAttempts = this->impl->models.heldAttempts();
    status.connectedAgents = this->impl->links.connectedCount();
    status.traffic = this->impl->links.traffic();
    return status;
}

void EntryShard::stop()
{
    std::lock_guard lock(this->impl->mutex);
    this->impl->driver->stop();
    this->impl->links.closeAll();
}

} // namespace peridotgrade
