// Records of software versions in the store.
#include "peridotgrade/gateway/version_log.h"

#include "peridotgrade/gateway/request_trace.h"
#include "peridotgrade/net/sleep.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <string>
#include <variant>

namespace peridotgrade {

namespace asio = boost::asio;

namespace {

    constexpr const char* Topic = "keyed.peridotgrade.versions";
    constexpr std::chrono::milliseconds CallTimeout { 500 };
    constexpr std::chrono::milliseconds RetryDelay { 100 };
    constexpr std::chrono::milliseconds MaxRetryDelay { 1000 };
    // For a version that cannot be put on record.
    constexpr std::chrono::milliseconds MinIdleTime { 100 };
    // Entries stop counting a version at about the same time; none may still count it when it is taken off.
    constexpr std::chrono::seconds RetireDelay { 30 };
    // Versions stop counting by the passage of time alone.
    constexpr std::chrono::seconds CheckInterval { 10 };
    constexpr std::size_t MaxKeyBytes = 255;
    constexpr char Separator = '\n';

    std::string textOf(const std::pair<ServiceId, SoftwareVersion>& key)
    {
        return key.second.raw() + Separator + key.first.raw();
    }

    std::optional<std::pair<ServiceId, SoftwareVersion>> keyFrom(const std::string& text)
    {
        std::size_t end = text.find(Separator);
        if (end == std::string::npos)
            return std::nullopt;
        return std::pair { ServiceId { text.substr(end + 1) }, SoftwareVersion { text.substr(0, end) } };
    }

} // namespace

VersionLog::VersionLog(GatewayState& state, StoreClient& store)
    : state(state)
    , store(store)
    , wakeup(state.executor)
{
    this->state.onVersionsChanged = [this] { this->wakeup.cancel(); };
    this->state.onServersListed = [this] {
        ++this->serverListings;
        this->state.areVersionsKnown = false;
        this->wakeup.cancel();
    };
}

void VersionLog::start() { asio::co_spawn(this->state.executor, this->run(), asio::detached); }

asio::awaitable<void> VersionLog::run()
{
    while (true) {
        bool isOk = true;
        auto keys = this->hasListed ? this->dueKeys() : std::vector<Key> {};
        if (this->isListingDue()) {
            isOk = co_await this->list();
        } else if (!keys.empty()) {
            isOk = co_await this->record(std::move(keys));
        } else if (auto key = this->retirableKey()) {
            co_await this->retire(std::move(*key));
        } else {
            boost::system::error_code ignored;
            this->wakeup.expires_after(this->idleTime());
            co_await this->wakeup.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        if (!isOk)
            co_await sleepFor(this->state.executor,
                std::min(RetryDelay * (1 << std::min(this->failedRecords, 4U)), MaxRetryDelay));
    }
}

asio::awaitable<bool> VersionLog::list()
{
    std::uint64_t after = this->serverListings;
    auto listed = co_await this->store.list(Topic, CallTimeout);
    const auto* listing = std::get_if<StoreListing>(&listed);
    if (listing == nullptr)
        co_return false;
    std::map<Key, LogOffset> before = std::exchange(this->recorded, {});
    for (const StoreRecord& record : listing->records) {
        if (auto key = record.value ? keyFrom(record.key) : std::nullopt)
            this->recorded.emplace(std::move(*key), record.offset);
    }
    if (this->hasListed && listing->era != this->era) {
        // Streams may have begun at versions that the older copy lacks.
        for (const auto& [key, offset] : before) {
            if (this->recorded.try_emplace(key, offset).second)
                this->lost.insert(key);
        }
    }
    this->end = listing->end;
    this->era = listing->era;
    std::map<ServiceId, std::set<SoftwareVersion>> versions;
    for (const auto& [service, history] : this->state.versions)
        versions[service];
    for (const auto& [key, offset] : this->recorded) {
        // A version that has stopped counting here does not count anew by the record of former times.
        auto known = before.find(key);
        bool isOld = known != before.end() && known->second == offset;
        if (!isOld || this->state.versions[key.first].counts(key.second, this->state.now()))
            versions[key.first].insert(key.second);
    }
    for (const auto& [service, each] : versions)
        this->state.versions[service].setRecorded(each, this->state.now());
    this->hasListed = true;
    this->listedAfter = after;
    this->state.areVersionsKnown = !this->isListingDue();
    co_return true;
}

std::vector<VersionLog::Key> VersionLog::dueKeys() const
{
    std::vector<Key> keys(this->lost.begin(), this->lost.end());
    // While the topic has never had a record, no entry has begun a stream that it could name.
    bool isUnused = this->end == LogOffset { 0 };
    for (const auto& [service, history] : this->state.versions) {
        for (SoftwareVersion& version : isUnused ? history.unrecorded() : history.settled(this->state.now()))
            keys.emplace_back(service, std::move(version));
    }
    std::erase_if(keys, [](const Key& key) { return textOf(key).size() > MaxKeyBytes; });
    return keys;
}

asio::awaitable<bool> VersionLog::record(std::vector<Key> keys)
{
    std::vector<StoreRecord> records;
    for (const Key& key : keys)
        records.push_back({ {}, textOf(key), this->state.settings.nodeName });
    std::variant<StoreAppended, StoreError> appended;
    if (this->end == LogOffset { 0 })
        appended = co_await this->store.appendAt(this->end, Topic, records, CallTimeout);
    else
        appended = co_await this->store.append(Topic, records, CallTimeout);
    if (const auto* error = std::get_if<StoreError>(&appended)) {
        // Another entry may have put them on record.
        this->listedAfter.reset();
        if (error->kind == StoreError::Kind::Conflict)
            co_return true;
        ++this->failedRecords;
        co_return false;
    }
    this->failedRecords = 0;
    this->end = std::get<StoreAppended>(appended).end;
    LogOffset offset { this->end.raw() - std::min<std::uint64_t>(this->end.raw(), keys.size()) };
    if (std::get<StoreAppended>(appended).era != this->era)
        this->listedAfter.reset();
    for (Key& key : keys) {
        VersionHistory& history = this->state.versions[key.first];
        history.noteRecorded(key.second, this->state.now());
        this->state.log.write(LogLevel::Info, "version_recorded",
            { { "service", key.first.raw() }, { "version", key.second.raw() },
                { "versions", history.text(this->state.now()) } });
        this->lost.erase(key);
        this->recorded.insert_or_assign(std::move(key), offset);
        offset = LogOffset { offset.raw() + 1 };
    }
    co_return true;
}

std::optional<VersionLog::Key> VersionLog::retirableKey()
{
    TimePoint now = this->state.now();
    std::optional<Key> due;
    for (const auto& [key, offset] : this->recorded) {
        auto history = this->state.versions.find(key.first);
        if (history != this->state.versions.end() && history->second.counts(key.second, now)) {
            this->unusedSince.erase(key);
            continue;
        }
        TimePoint since = this->unusedSince.try_emplace(key, now).first->second;
        if (!due && now >= since + RetireDelay)
            due = key;
    }
    return due;
}

asio::awaitable<void> VersionLog::retire(Key key)
{
    // A failed attempt is repeated after the same delay.
    this->unusedSince[key] = this->state.now();
    auto listed = co_await this->store.list(Topic, CallTimeout);
    const auto* listing = std::get_if<StoreListing>(&listed);
    if (listing == nullptr || listing->era != this->era || !this->state.isListCurrent()
        || this->state.versions[key.first].counts(key.second, this->state.now()))
        co_return;
    bool isOnRecord = std::any_of(listing->records.begin(), listing->records.end(),
        [&](const StoreRecord& each) { return each.key == textOf(key) && each.value; });
    if (isOnRecord) {
        std::vector<StoreRecord> removal(1);
        removal.front().key = textOf(key);
        auto removed = co_await this->store.appendAt(listing->end, Topic, removal, CallTimeout);
        if (std::holds_alternative<StoreError>(removed))
            co_return;
        this->state.log.write(LogLevel::Info, "version_retired",
            { { "service", key.first.raw() }, { "version", key.second.raw() } });
    }
    this->recorded.erase(key);
    this->unusedSince.erase(key);
}

Duration VersionLog::idleTime() const
{
    Duration idle = CheckInterval;
    TimePoint now = this->state.now();
    for (const auto& [service, history] : this->state.versions) {
        if (auto at = history.nextSettledAt(); at && this->hasListed)
            idle = std::min<Duration>(idle, std::max<Duration>(*at - now, MinIdleTime));
    }
    return idle;
}

} // namespace peridotgrade
