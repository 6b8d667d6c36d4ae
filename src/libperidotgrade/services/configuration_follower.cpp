// Applies the log's records to the replica, publishes its changes and appends snapshots.
#include "peridotgrade/services/configuration_follower.h"

#include "peridotgrade/core/config/snapshot_policy.h"
#include "peridotgrade/services/log_tail.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace peridotgrade {

namespace asio = boost::asio;

namespace {

    const std::string Stream = "configuration";
    constexpr std::chrono::milliseconds AppendTimeout { 3'000 };

} // namespace

class ConfigurationFollower::Impl : public LogTailListener, public std::enable_shared_from_this<Impl> {
public:
    Impl(asio::any_io_executor executor, ConfigurationFollowerSettings settings)
        : executor(executor)
        , settings(std::move(settings))
        , client(executor, this->settings.platform)
        , policy(this->settings.logRetention, RandomSource(this->settings.seed))
        , tail(executor, this->settings.platform, Stream, LogOffset {}, this->settings.seed, *this)
        , inForce(std::make_shared<ConfigurationInForce>())
    {
    }

    void onLogRecords(std::vector<LogRecord> records) override
    {
        std::vector<ApplyResult> results;
        {
            std::lock_guard lock(this->mutex);
            for (const LogRecord& record : records)
                results.push_back(this->replica.onRecord(record));
        }
        if (this->applyObserver) {
            for (const ApplyResult& result : results)
                this->applyObserver(result);
        }
        this->publish();
    }

    void onLogCaughtUp(LogOffset oldest, LogOffset next, TimePoint) override
    {
        bool isSnapshotDue = false;
        {
            std::lock_guard lock(this->mutex);
            this->replica.onCaughtUp(next);
            if (this->settings.appendsSnapshots && !this->isAppending)
                isSnapshotDue = this->policy.isDue(this->replica, oldest, this->settings.wallNow());
        }
        this->publish();
        if (isSnapshotDue)
            this->appendSnapshot();
    }

    void onLogGap(LogOffset oldest) override
    {
        std::lock_guard lock(this->mutex);
        this->replica.onGap(oldest);
    }

    void onLogAvailability(bool isAvailable) override
    {
        std::lock_guard lock(this->mutex);
        this->isAvailable = isAvailable;
    }

    void offer(const ConfigurationSnapshot& snapshot)
    {
        LogOffset next;
        {
            std::lock_guard lock(this->mutex);
            this->replica.onPeerSnapshot(snapshot);
            next = this->replica.nextOffset();
        }
        this->tail.skipTo(next);
        this->publish();
    }

    /// Passes the configuration to the subscribers if its version or readiness changed.
    void publish()
    {
        std::shared_ptr<const ConfigurationInForce> published;
        {
            std::lock_guard lock(this->mutex);
            bool isSame = this->inForce->version == this->replica.version()
                && this->inForce->isReady == this->replica.isReady();
            if (isSame)
                return;
            auto updated = std::make_shared<ConfigurationInForce>();
            updated->version = this->replica.version();
            updated->digest = this->replica.digest();
            if (!this->replica.history().empty())
                updated->plan = this->replica.history().back().plan;
            updated->isReady = this->replica.isReady();
            updated->configuration = this->replica.configuration();
            this->inForce = updated;
            published = std::move(updated);
        }
        for (const Subscriber& subscriber : this->subscribers)
            subscriber(published);
    }

    const asio::any_io_executor executor;
    const ConfigurationFollowerSettings settings;
    LogClient client;
    mutable std::mutex mutex;
    /// Guarded by `mutex`.
    ConfigurationReplica replica;
    SnapshotPolicy policy;
    LogTail tail;
    /// Guarded by `mutex`, as is `isAvailable`; the object that it points to never changes.
    std::shared_ptr<const ConfigurationInForce> inForce;
    bool isAvailable = false;
    /// Used only on the executor, as are the subscribers and the observer after `start`.
    bool isAppending = false;
    std::vector<Subscriber> subscribers;
    ApplyObserver applyObserver;

private:
    void appendSnapshot()
    {
        this->isAppending = true;
        asio::co_spawn(
            this->executor, [self = this->shared_from_this()] { return self->appendOnce(); }, asio::detached);
    }

    asio::awaitable<void> appendOnce()
    {
        std::vector<std::string> records;
        {
            std::lock_guard lock(this->mutex);
            records.push_back(encodeRecord(this->replica.snapshot()));
        }
        // The result is not needed: the policy looks at the snapshots in the log, so a failed append is
        // repeated and a duplicate is harmless.
        co_await this->client.append(Stream, std::move(records), AppendTimeout);
        this->isAppending = false;
    }
};

ConfigurationFollower::ConfigurationFollower(
    asio::any_io_executor executor, ConfigurationFollowerSettings settings)
    : impl(std::make_shared<Impl>(std::move(executor), std::move(settings)))
{
}

ConfigurationFollower::~ConfigurationFollower() { this->stop(); }

void ConfigurationFollower::subscribe(Subscriber subscriber)
{
    this->impl->subscribers.push_back(std::move(subscriber));
}

void ConfigurationFollower::observeApplyResults(ApplyObserver observer)
{
    this->impl->applyObserver = std::move(observer);
}

void ConfigurationFollower::start() { this->impl->tail.start(); }

void ConfigurationFollower::stop()
{
    asio::post(this->impl->executor, [impl = this->impl] { impl->tail.stop(); });
}

std::shared_ptr<const ConfigurationInForce> ConfigurationFollower::current() const
{
    std::lock_guard lock(this->impl->mutex);
    return this->impl->inForce;
}

bool ConfigurationFollower::isLogAvailable() const
{
    std::lock_guard lock(this->impl->mutex);
    return this->impl->isAvailable;
}

bool ConfigurationFollower::isBehind(ConfigVersion version) const
{
    std::lock_guard lock(this->impl->mutex);
    return version > this->impl->replica.version();
}

ConfigurationSnapshot ConfigurationFollower::peerSnapshot() const
{
    std::lock_guard lock(this->impl->mutex);
    return this->impl->replica.peerSnapshot();
}

void ConfigurationFollower::offer(ConfigurationSnapshot snapshot)
{
    asio::post(
        this->impl->executor, [impl = this->impl, snapshot = std::move(snapshot)] { impl->offer(snapshot); });
}

void ConfigurationFollower::withReplica(const std::function<void(const ConfigurationReplica&)>& reader) const
{
    std::lock_guard lock(this->impl->mutex);
    reader(this->impl->replica);
}

} // namespace peridotgrade
