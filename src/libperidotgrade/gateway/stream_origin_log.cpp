// Publication and search of stream origins.
#include "peridotgrade/gateway/stream_origin_log.h"

#include "peridotgrade/core/quarantine/request_content.h"
#include "peridotgrade/core/quarantine/suspect.h"
#include "peridotgrade/net/sleep.h"

#include <boost/algorithm/string/split.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace peridotgrade {

namespace asio = boost::asio;

namespace {

    constexpr const char* Topic = "peridotgrade.streams";
    // A stream is on record this long after its first event. The store takes a few hundred writes a second
    // from all entries together, so the interval grows with their number.
    constexpr std::chrono::milliseconds MinPublishInterval { 100 };
    constexpr std::chrono::milliseconds PublishIntervalPerEntry { 5 };
    constexpr std::chrono::milliseconds PublishTimeout { 500 };
    // A caller that resumes a stream waits meanwhile. The store answers within a few milliseconds.
    constexpr std::chrono::milliseconds ReadTimeout { 200 };
    // A record may still be on its way when its caller has already found another entry: an interval, and
    // this.
    constexpr std::chrono::milliseconds SearchMargin { 250 };
    constexpr std::chrono::milliseconds SearchInterval { 60 };
    // The length of a key is one byte.
    constexpr std::size_t MaxKeyBytes = 255;
    constexpr char Separator = '\n';

    StoreRecord recordOf(const StreamOriginRecord& record)
    {
        return { {}, record.attempt,
            record.origin.version.raw() + Separator + record.origin.service.raw() + Separator
                + textOf(record.content) };
    }

    /// Records of earlier versions of this program have no content.
    std::optional<StreamOriginRecord> originFrom(const StoreRecord& record)
    {
        std::vector<std::string> parts;
        if (record.value)
            boost::algorithm::split(parts, *record.value, [](char each) { return each == Separator; });
        if (parts.size() < 2)
            return std::nullopt;
        auto content = parts.size() > 2 ? suspectFrom(parts[2]) : std::nullopt;
        return StreamOriginRecord { record.key, { ServiceId { parts[1] }, SoftwareVersion { parts[0] } },
            content ? content->content : Fingerprint {} };
    }

} // namespace

/// One read of the topic, for all who wait for it.
struct StreamOriginLog::Reading {
    explicit Reading(const asio::any_io_executor& executor)
        : done(executor, asio::steady_timer::time_point::max())
    {
    }

    /// Never expires; it is cancelled to resume the waiting coroutines.
    asio::steady_timer done;
    bool isDone = false;
    bool hasSucceeded = false;
};

StreamOriginLog::StreamOriginLog(GatewayState& state, StoreClient& store)
    : state(state)
    , store(store)
{
    // Streams that began while there was one version are published when there are two.
    this->state.onMixedVersions = [this] { this->publishSoon(); };
}

void StreamOriginLog::noteBegun(
    const GatewayRequest& request, const ServiceRoute& route, const StreamOrigin& origin)
{
    const std::string& attempt = request.resumedAttempt ? *request.resumedAttempt : request.attempt;
    if (this->origins.find(attempt))
        return;
    this->origins.noteBegun(
        { attempt, origin, request.streamContent }, this->state.now(), route.services.size() > 1);
    if (this->needsRecords(route))
        this->publishSoon();
}

void StreamOriginLog::noteCompleted(const GatewayRequest& request)
{
    this->origins.noteCompleted(request.attempt);
    if (request.resumedAttempt)
        this->origins.noteCompleted(*request.resumedAttempt);
}

bool StreamOriginLog::isMixed(const ServiceId& service) const
{
    auto found = this->state.versions.find(service);
    return found != this->state.versions.end() && found->second.isMixed(this->state.now());
}

bool StreamOriginLog::needsRecords(const ServiceRoute& route) const
{
    return route.services.size() > 1 || this->isMixed(route.services.front().service);
}

std::optional<StreamOrigin> StreamOriginLog::onlyOrigin(const ServiceRoute& route) const
{
    if (route.services.size() > 1)
        return std::nullopt;
    const ServiceId& service = route.services.front().service;
    auto version = this->state.onlyVersion(service);
    return version ? std::optional { StreamOrigin { service, std::move(*version) } } : std::nullopt;
}

StreamOriginLog::Finding StreamOriginLog::noteFinding(Finding finding)
{
    this->state.metrics.countResumption(std::string { finding.evidence });
    return finding;
}

asio::awaitable<StreamOriginLog::Finding> StreamOriginLog::originOf(
    const GatewayRequest& request, const ServiceRoute& route)
{
    TimePoint end = this->state.now() + this->publishInterval() + SearchMargin;
    bool wasRead = false;
    auto named
        = [&] { return request.resumedAttempt ? this->origins.find(*request.resumedAttempt) : std::nullopt; };
    while (true) {
        if (auto known = named()) {
            Duration age = this->state.now() - known->knownSince;
            std::string_view evidence = known->isOwn ? "own" : "published";
            co_return this->noteFinding({ std::move(known->origin), evidence, age });
        }
        if (auto only = this->onlyOrigin(route))
            co_return this->noteFinding({ std::move(only), "only_version", std::nullopt });
        if (this->state.now() >= end)
            break;
        // While there is one version, entries publish nothing that could still arrive.
        if (this->needsRecords(route)) {
            bool isRead = co_await this->refresh();
            wasRead = wasRead || isRead;
        }
        if (!named())
            co_await sleepFor(this->state.executor, SearchInterval);
    }
    if (!request.resumedAttempt && !this->needsRecords(route))
        co_return this->noteFinding(this->findByContent(request));
    co_return this->noteFinding(
        { std::nullopt, wasRead ? "not_recorded" : "store_unavailable", std::nullopt });
}

StreamOriginLog::Finding StreamOriginLog::findByContent(const GatewayRequest& request) const
{
    auto origins = this->origins.originsOf(request.streamContent);
    if (origins.size() != 1)
        return { std::nullopt, origins.empty() ? "store_unavailable" : "ambiguous", std::nullopt };
    return { std::move(origins.front()), "content", std::nullopt };
}

asio::awaitable<bool> StreamOriginLog::refresh()
{
    boost::system::error_code ignored;
    // A read that has begun may have passed the place of the record.
    if (auto earlier = this->current; earlier && !earlier->isDone)
        co_await earlier->done.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    auto reading = this->current;
    if (!reading || reading->isDone) {
        reading = std::make_shared<Reading>(this->state.executor);
        this->current = reading;
        reading->hasSucceeded = co_await this->readToEnd();
        reading->isDone = true;
        reading->done.cancel();
    } else {
        co_await reading->done.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_return reading->hasSucceeded;
}

asio::awaitable<bool> StreamOriginLog::readToEnd()
{
    TimePoint end = this->state.now() + ReadTimeout;
    while (this->state.now() < end) {
        auto left = std::chrono::ceil<std::chrono::milliseconds>(end - this->state.now());
        auto batch = co_await this->store.read(Topic, this->next, std::chrono::milliseconds { 0 }, left);
        if (auto* error = std::get_if<StoreError>(&batch)) {
            if (error->kind != StoreError::Kind::Trimmed || error->first == this->next)
                co_return false;
            this->next = error->first;
            continue;
        }
        auto& read = std::get<StoreBatch>(batch);
        if (read.era != this->era) {
            this->enterEra(read.era);
            continue;
        }
        for (const StoreRecord& record : read.records) {
            if (auto origin = originFrom(record))
                this->origins.notePublished(*origin, this->state.now());
        }
        this->next = read.next;
        if (read.next >= read.end)
            co_return true;
    }
    co_return false;
}

void StreamOriginLog::enterEra(std::uint64_t newEra)
{
    // Offsets start anew, and what was published last may be lost.
    this->era = newEra;
    this->next = LogOffset { 0 };
    this->origins.republishAll();
    this->publishSoon();
}

std::chrono::milliseconds StreamOriginLog::publishInterval() const
{
    return std::max<std::chrono::milliseconds>(
        MinPublishInterval, PublishIntervalPerEntry * this->state.entryCount());
}

void StreamOriginLog::publishSoon()
{
    if (std::exchange(this->isPublishing, true))
        return;
    this->state.subscribeAfter(this->publishInterval(),
        [this] { asio::co_spawn(this->state.executor, this->publish(), asio::detached); });
}

asio::awaitable<void> StreamOriginLog::publish()
{
    auto records
        = this->origins.takeUnpublished([this](const ServiceId& service) { return this->isMixed(service); });
    std::vector<StoreRecord> batch;
    for (const StreamOriginRecord& record : records) {
        if (record.attempt.size() <= MaxKeyBytes)
            batch.push_back(recordOf(record));
    }
    bool hasFailed = false;
    if (!batch.empty()) {
        auto appended = co_await this->store.append(Topic, batch, PublishTimeout);
        hasFailed = std::holds_alternative<StoreError>(appended);
        this->state.metrics.countPublishedOrigins(hasFailed ? "failed" : "appended", batch.size());
        if (hasFailed)
            this->origins.returnUnpublished(records);
        else if (std::get<StoreAppended>(appended).era != this->era)
            this->enterEra(std::get<StoreAppended>(appended).era);
    }
    this->isPublishing = false;
    if (hasFailed)
        this->publishSoon();
}

} // namespace peridotgrade
