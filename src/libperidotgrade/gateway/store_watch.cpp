// Listing, reading and retries of a followed topic.
#include "peridotgrade/gateway/store_watch.h"

#include "peridotgrade/gateway/request_trace.h"
#include "peridotgrade/net/sleep.h"

#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace peridotgrade {

namespace {
    // Answers take 4 ms when the store is healthy, and a few hundred when it is slow.
    constexpr std::chrono::milliseconds CallTimeout { 500 };
    // Backoff after a failure, doubled up to the maximum, which keeps updates well within their time limits.
    constexpr std::chrono::milliseconds InitialBackoff { 100 };
    constexpr std::chrono::milliseconds MaxBackoff { 400 };
    // Records are to be known to all entries well within the three seconds after which they bind.
    constexpr std::chrono::milliseconds MaxPause { 1000 };
    // Consecutive failures before the store counts as lost: a single one may be a broken connection.
    constexpr std::uint32_t FailuresUntilLost = 2;

    std::string_view groupOf(const StoreRecord& record)
    {
        return std::string_view { record.key }.substr(0, record.key.find('/'));
    }

    /// Removes and returns the records at the end whose keys agree up to the first slash.
    std::vector<StoreRecord> takeLastGroup(std::vector<StoreRecord>& records)
    {
        auto first = records.end();
        while (first != records.begin() && groupOf(*std::prev(first)) == groupOf(records.back()))
            --first;
        std::vector<StoreRecord> group(
            std::make_move_iterator(first), std::make_move_iterator(records.end()));
        records.erase(first, records.end());
        return group;
    }

} // namespace

StoreWatch::StoreWatch(GatewayState& state, StoreClient& store, WatchedTopic topic, Callbacks callbacks)
    : state(state)
    , store(store)
    , topic(std::move(topic))
    , callbacks(std::move(callbacks))
{
}

boost::asio::awaitable<void> StoreWatch::run()
{
    // This runs until the process ends: requests are served during shutdown, and draining servers must not
    // get them.
    while (true) {
        bool isOk = false;
        if (std::exchange(this->isListingWanted, false))
            this->next.reset();
        if (this->next)
            isOk = co_await this->readNext();
        else if (this->topic.isReadInParts)
            isOk = co_await this->relistInParts();
        else
            isOk = co_await this->relist();
        if (!isOk) {
            auto pause
                = std::min(InitialBackoff * (1 << std::min(this->consecutiveFailures, 4U)), MaxBackoff);
            co_await sleepFor(this->state.executor, pause);
        } else if (this->next && !this->isBehind && this->pause().count() > 0) {
            co_await sleepFor(this->state.executor, this->pause());
        }
    }
}

boost::asio::awaitable<bool> StoreWatch::relist()
{
    this->hasReadRecords = false;
    this->isBehind = false;
    TimePoint began = this->state.now();
    TimePoint asked = TimerDriver::bootNow();
    auto listing = co_await this->store.list(this->topic.name, CallTimeout);
    if (auto* error = std::get_if<StoreError>(&listing)) {
        this->noteFailure(*error, began);
        co_return false;
    }
    this->noteSuccess();
    this->logLongListing(std::get<StoreListing>(listing).records.size(), began);
    this->noteCurrent(asked);
    this->enterEra(std::get<StoreListing>(listing).era);
    this->next = std::get<StoreListing>(listing).end;
    this->state.loop.run(
        this->topic.name, [&] { this->callbacks.onListing(std::get<StoreListing>(listing)); });
    co_return true;
}

boost::asio::awaitable<bool> StoreWatch::relistInParts()
{
    this->hasReadRecords = false;
    this->isBehind = false;
    TimePoint began = this->state.now();
    TimePoint asked = TimerDriver::bootNow();
    std::string after = this->listing ? this->listing->after : std::string {};
    auto read = co_await this->store.listPage(this->topic.name, after, CallTimeout);
    if (auto* error = std::get_if<StoreError>(&read)) {
        this->noteFailure(*error, began);
        co_return false;
    }
    this->noteSuccess();
    auto& page = std::get<StoreListingPage>(read);
    if (this->listing && this->listing->era != page.era)
        this->listing.reset();
    else
        co_await this->takePage(page, asked, began);
    co_return true;
}

boost::asio::awaitable<void> StoreWatch::takePage(StoreListingPage& page, TimePoint asked, TimePoint began)
{
    if (!this->listing) {
        this->listing = PartialListing { asked, began, page.end, page.era, {} };
        this->enterEra(page.era);
    }
    this->listing->records += page.records.size();
    if (!page.records.empty())
        this->listing->after = page.records.back().key;
    std::vector<StoreRecord> records = std::exchange(this->listing->carried, {});
    std::move(page.records.begin(), page.records.end(), std::back_inserter(records));
    if (!page.isLast) {
        this->listing->carried = takeLastGroup(records);
        // While the next page is on its way. The loop keeps the order.
        boost::asio::post(
            this->state.executor, [this, records = std::move(records)] { this->handOnPart(records); });
        co_return;
    }
    co_await this->handOn(std::move(records));
    PartialListing whole = *std::exchange(this->listing, std::nullopt);
    this->logLongListing(whole.records, whole.began);
    this->next = whole.end;
    this->noteCurrent(whole.asked);
}

boost::asio::awaitable<void> StoreWatch::handOn(std::vector<StoreRecord> records)
{
    std::size_t size = this->topic.isReadInParts ? PartSize : records.size();
    for (std::size_t first = 0; first < records.size(); first += size) {
        if (first > 0)
            co_await boost::asio::post(this->state.executor, boost::asio::use_awaitable);
        auto begin = std::make_move_iterator(records.begin() + static_cast<std::ptrdiff_t>(first));
        std::vector<StoreRecord> part(
            begin, begin + static_cast<std::ptrdiff_t>(std::min(size, records.size() - first)));
        this->handOnPart(part);
    }
}

void StoreWatch::handOnPart(const std::vector<StoreRecord>& records)
{
    this->state.loop.run(this->topic.name, [&] { this->callbacks.onRecords(records); });
}

void StoreWatch::logLongListing(std::size_t records, TimePoint began)
{
    if (records > LongListing)
        this->state.log.write(LogLevel::Warn, "store_listing_long",
            { { "topic", this->topic.name }, { "records", std::to_string(records) },
                { "took_ms", millisecondsText(this->state.now() - began) } });
}

boost::asio::awaitable<bool> StoreWatch::readNext()
{
    this->hasReadRecords = false;
    auto wait = this->readWait();
    TimePoint began = this->state.now();
    TimePoint asked = TimerDriver::bootNow();
    auto batch = co_await this->store.read(
        this->topic.name, *this->next, wait, wait + CallTimeout, StoreClient::BodyTime::WhileItArrives);
    if (auto* error = std::get_if<StoreError>(&batch)) {
        this->noteFailure(*error, began);
        this->next.reset();
        co_return false;
    }
    auto& read = std::get<StoreBatch>(batch);
    bool isSameEra = read.era == this->era;
    this->isBehind = isSameEra && read.next < read.end;
    if (this->isBehind && read.next == *this->next) {
        // An answer without a length that the store's end cut off may end between two records.
        this->noteFailure(
            { StoreError::Kind::Malformed, "no records before the end of the topic", {} }, began);
        this->next.reset();
        co_return false;
    }
    this->noteSuccess();
    if (!this->isBehind && isSameEra)
        this->noteCurrent(asked);
    if (!isSameEra) {
        // The offset that was read from belongs to other records now.
        this->next.reset();
        co_return true;
    }
    this->hasReadRecords = !read.records.empty();
    if (this->hasReadRecords)
        co_await this->handOn(std::move(read.records));
    this->next = read.next;
    co_return true;
}

std::chrono::milliseconds StoreWatch::readWait() const
{
    return this->store.isCalm() ? std::max(this->topic.wait, this->topic.calmWait) : this->topic.wait;
}

std::chrono::milliseconds StoreWatch::pause() const
{
    auto afterRecords = std::min(this->topic.pausePerEntry * this->state.entryCount(), MaxPause);
    return this->hasReadRecords ? std::max(this->topic.interval, afterRecords) : this->topic.interval;
}

void StoreWatch::enterEra(std::uint64_t newEra)
{
    bool isNew = this->era && *this->era != newEra;
    if (isNew) {
        this->state.log.write(LogLevel::Warn, "store_restored",
            { { "topic", this->topic.name }, { "era", std::to_string(newEra) },
                { "before", std::to_string(*this->era) } });
        this->callbacks.onNewEra();
    }
    this->era = newEra;
}

void StoreWatch::noteCurrent(TimePoint asked)
{
    this->previousCurrentAt = std::exchange(this->currentAt, this->state.now());
    this->callbacks.onRead(asked);
}

void StoreWatch::noteFailure(const StoreError& error, TimePoint began)
{
    ++this->consecutiveFailures;
    if (this->consecutiveFailures == 1)
        this->state.log.write(LogLevel::Warn, "store_call_failed",
            { { "topic", this->topic.name }, { "call", this->next ? "read" : "list" },
                { "kind", std::string { nameOf(error.kind) } }, { "detail", error.detail },
                { "took_ms", millisecondsText(this->state.now() - began) } });
    if (this->consecutiveFailures != FailuresUntilLost)
        return;
    this->state.log.write(LogLevel::Warn, "store_lost",
        { { "topic", this->topic.name }, { "kind", std::string { nameOf(error.kind) } },
            { "detail", error.detail } });
    this->callbacks.onLost();
}

void StoreWatch::noteSuccess()
{
    bool wasLost = this->consecutiveFailures >= FailuresUntilLost;
    this->consecutiveFailures = 0;
    if (!wasLost)
        return;
    this->state.log.write(LogLevel::Info, "store_back", { { "topic", this->topic.name } });
    this->callbacks.onBack();
}

} // namespace peridotgrade
