// Publication of crashes, and the records of other entries.
#include "peridotgrade/gateway/crash_log.h"

#include "peridotgrade/net/sleep.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace peridotgrade {

namespace asio = boost::asio;

namespace {

    constexpr const char* Topic = "keyed.peridotgrade.crashes";
    // A connection that is silent is noticed after this and the time-out of a call.
    constexpr std::chrono::milliseconds Wait { 2000 };
    // While the store answers all calls, a silent connection would be that of this read alone.
    constexpr std::chrono::milliseconds CalmWait { 10'000 };
    // All entries together read at most a hundred times a second while records come.
    constexpr std::chrono::milliseconds PausePerEntry { 10 };
    constexpr std::chrono::milliseconds PublishTimeout { 500 };
    constexpr std::chrono::milliseconds PublishRetryDelay { 200 };
    constexpr std::chrono::seconds ExpiryInterval { 10 };
    // Records of one append; each has some sixty bytes.
    constexpr std::size_t MaxBatch = 500;
    // Bounds the memory while the store is away.
    constexpr std::size_t MaxUnpublished = 8192;
    // Bounds the memory to some megabytes.
    constexpr std::size_t MaxSurplus = 32'768;
    // All entries together withdraw at most ten batches a second.
    constexpr std::chrono::milliseconds WithdrawalPausePerEntry { 100 };
    constexpr std::size_t MaxKeyBytes = 255;
    constexpr char Separator = '/';

    /// `suspect/incarnation/server`, since the name of a server may have any bytes. Earlier versions of this
    /// program skip the records of parts of prompts, whose texts are no numbers.
    std::string keyOf(const CrashRecord& record)
    {
        return textOf(record.suspect) + Separator + std::to_string(record.crash.incarnation) + Separator
            + record.crash.server;
    }

    // Earlier versions skip such keys.
    constexpr std::string_view ClaimPrefix = "trial-";

    std::optional<std::uint64_t> numberFrom(std::string_view text)
    {
        std::uint64_t value = 0;
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        bool isWhole = error == std::errc {} && end == text.data() + text.size();
        return isWhole ? std::optional { value } : std::nullopt;
    }

    // In place of the request, which the record of a request need not name. Earlier versions skip it.
    constexpr const char* AnsweredValue = "answered";
    constexpr const char* TrialValue = "trial";

    /// The request that had the suspect, so that no value is empty.
    std::string valueOf(const CrashRecord& record)
    {
        if (record.wasTrial)
            return TrialValue;
        return record.wasAnswered ? AnsweredValue : textOf(record.request);
    }

    /// A record of an earlier version, or a withdrawal, names no request; of a request's record none is
    /// needed.
    std::optional<CrashRecord> recordFrom(const StoreRecord& published)
    {
        std::string_view key = published.key;
        std::size_t first = key.find(Separator);
        std::size_t second = first == std::string_view::npos ? first : key.find(Separator, first + 1);
        if (second == std::string_view::npos)
            return std::nullopt;
        auto suspect = suspectFrom(key.substr(0, first));
        auto incarnation = numberFrom(key.substr(first + 1, second - first - 1));
        if (!suspect || !incarnation)
            return std::nullopt;
        auto request = suspectFrom(published.value.value_or(""));
        bool wasTrial = published.value == TrialValue;
        return CrashRecord { *suspect, ServerCrash { std::string { key.substr(second + 1) }, *incarnation },
            request ? request->content : Fingerprint {}, wasTrial || published.value == AnsweredValue,
            wasTrial };
    }

} // namespace

CrashLog::CrashLog(GatewayState& state, StoreClient& store)
    : state(state)
    , store(store)
    , watch(state, store, { Topic, Wait, std::chrono::milliseconds { 0 }, CalmWait, PausePerEntry, true },
          { {}, [this](const std::vector<StoreRecord>& records) { this->apply(records); },
              [this] { this->hasFailed = true; }, [] {}, [this] { this->republish(); },
              [this](TimePoint) { this->hasRead = true; } })
{
    this->state.crashes.setCallbacks({ [this](const CrashRecord& record) {
                                          this->publishSoon({ {}, keyOf(record), valueOf(record) });
                                      },
        [this](const CrashRecord& record) {
            this->publishSoon({ {}, keyOf(record), std::nullopt });
        },
        [this](const Suspect& suspect) { this->logQuarantined(suspect); },
        [this](const Suspect& suspect) { this->logProbation(suspect); },
        [this](const CrashRecord& record) { this->noteDropped(record); } });
    this->state.claimTrial = [this](Suspect suspect) { return this->claimTrial(suspect); };
}

void CrashLog::start()
{
    asio::co_spawn(this->state.executor, this->watch.run(), asio::detached);
    this->expireLater();
}

void CrashLog::apply(const std::vector<StoreRecord>& records)
{
    // Records between two withdrawals are applied together.
    std::vector<CrashRecord> crashes;
    for (const StoreRecord& each : records) {
        if (each.key.starts_with(ClaimPrefix)) {
            auto claimed = suspectFrom(std::string_view { each.key }.substr(ClaimPrefix.size()));
            if (claimed && each.value)
                this->state.crashes.noteTrial(*claimed, this->state.now());
            continue;
        }
        auto record = recordFrom(each);
        if (!record)
            continue;
        if (each.value) {
            record->offset = each.offset;
            crashes.push_back(std::move(*record));
            continue;
        }
        this->surplus.erase(each.key);
        this->state.crashes.apply(std::exchange(crashes, {}), this->state.now());
        this->state.crashes.applyWithdrawal(record->suspect);
    }
    this->state.crashes.apply(crashes, this->state.now());
}

asio::awaitable<bool> CrashLog::claimTrial(Suspect suspect)
{
    // Without the store each entry goes by the crashes that it has seen itself.
    auto end = this->watch.position();
    if (!end)
        co_return true;
    // The claim is deleted in the same call: others read both records, and nothing remains.
    std::string key = std::string { ClaimPrefix } + textOf(suspect);
    std::vector<StoreRecord> claim { { {}, key, this->state.settings.nodeName }, { {}, key, std::nullopt } };
    auto appended = co_await this->store.appendAt(*end, Topic, claim, PublishTimeout);
    const auto* error = std::get_if<StoreError>(&appended);
    co_return error == nullptr || error->kind == StoreError::Kind::Unreachable;
}

void CrashLog::republish()
{
    for (const CrashRecord& record : this->state.crashes.records())
        this->publishSoon({ {}, keyOf(record), valueOf(record) });
}

void CrashLog::publishSoon(StoreRecord record)
{
    if (record.key.size() > MaxKeyBytes)
        return;
    this->unpublished.push_back(std::move(record));
    if (this->unpublished.size() > MaxUnpublished)
        this->unpublished.pop_front();
    if (!std::exchange(this->isPublishing, true))
        asio::co_spawn(this->state.executor, this->publish(), asio::detached);
}

asio::awaitable<void> CrashLog::publish()
{
    while (!this->unpublished.empty()) {
        std::size_t size = std::min(this->unpublished.size(), MaxBatch);
        auto end = this->unpublished.begin() + static_cast<std::ptrdiff_t>(size);
        std::vector<StoreRecord> batch(this->unpublished.begin(), end);
        this->unpublished.erase(this->unpublished.begin(), end);
        auto appended = co_await this->store.append(Topic, batch, PublishTimeout);
        if (std::holds_alternative<StoreAppended>(appended))
            continue;
        // It may have been appended all the same; appending it again has no further effect.
        this->unpublished.insert(this->unpublished.begin(), batch.begin(), batch.end());
        co_await sleepFor(this->state.executor, PublishRetryDelay);
    }
    this->isPublishing = false;
}

void CrashLog::noteDropped(const CrashRecord& record)
{
    if (this->surplus.size() >= MaxSurplus) {
        this->hasMoreSurplus = true;
        return;
    }
    this->surplus.emplace(keyOf(record), record.suspect);
    if (!std::exchange(this->isWithdrawing, true))
        this->withdrawSurplusLater();
}

void CrashLog::withdrawSurplusLater()
{
    this->state.subscribeAfter(
        WithdrawalPausePerEntry * this->state.entryCount(), [this] { this->withdrawSurplus(); });
}

void CrashLog::withdrawSurplus()
{
    // Crashes come first, also while the store is away.
    if (this->unpublished.size() >= MaxBatch) {
        this->withdrawSurplusLater();
        return;
    }
    // The entries drop the same records, so each begins elsewhere.
    SuspectKind kind = this->state.random.below(2) == 0 ? SuspectKind::Request : SuspectKind::PromptPart;
    auto next
        = this->surplus.lower_bound(textOf(Suspect { Fingerprint { this->state.random.next() }, kind }));
    for (std::size_t i = 0; i < MaxBatch && !this->surplus.empty(); ++i) {
        if (next == this->surplus.end())
            next = this->surplus.begin();
        // A new record of the suspect would be withdrawn with the old one.
        if (!this->state.crashes.isOnRecord(next->second))
            this->publishSoon({ {}, next->first, std::nullopt });
        next = this->surplus.erase(next);
    }
    this->isWithdrawing = !this->surplus.empty();
    if (this->isWithdrawing)
        this->withdrawSurplusLater();
    else if (std::exchange(this->hasMoreSurplus, false))
        this->watch.listAgain();
}

void CrashLog::expireLater()
{
    this->state.subscribeAfter(ExpiryInterval, [this] {
        this->state.loop.run("crash_expiry", [this] { this->state.crashes.expire(this->state.now()); });
        this->expireLater();
    });
}

std::string CrashLog::serversOf(const Suspect& suspect) const
{
    std::string servers;
    for (const ServerCrash& crash : this->state.crashes.crashesOnRecord(suspect))
        servers += (servers.empty() ? "" : ",") + crash.server;
    return servers;
}

void CrashLog::logProbation(const Suspect& suspect)
{
    this->state.log.write(LogLevel::Warn, "request_on_probation",
        { { "content", textOf(suspect) }, { "servers", this->serversOf(suspect) } });
}

void CrashLog::logQuarantined(const Suspect& suspect)
{
    this->state.metrics.countQuarantined();
    bool isPart = suspect.kind == SuspectKind::PromptPart;
    this->state.log.write(LogLevel::Warn, isPart ? "prompt_part_quarantined" : "request_quarantined",
        { { "content", textOf(suspect) }, { "servers", this->serversOf(suspect) } });
}

} // namespace peridotgrade
