// Lifecycle of streams, KV memory and exports in the fake engine.
#include "engine.h"

#include "answer.h"

#include "../common/pause.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/array.hpp>

#include <algorithm>

namespace peridotgrade::standins {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {
    constexpr std::chrono::milliseconds LoadSampleInterval { 50 };
    constexpr std::uint64_t NanosPerSecond = 1'000'000'000;
} // namespace

Engine::Engine(
    asio::any_io_executor executor, EngineSettings settings, std::uint64_t seed, std::uint64_t incarnation)
    : ioExecutor(executor)
    , currentSettings(std::move(settings))
    , random(seed)
    , currentIncarnation(incarnation)
    , memory(this->currentSettings.kvTokens, this->currentSettings.kvTokensPerPiece)
    , cache(this->currentSettings.cacheTokens)
    , eventLog(seed)
    , shelf(executor, this->currentSettings)
    , prefills(executor, this->currentSettings, this->cache,
          [this](const WorkPointer& work) { this->onComputed(work); })
    , batch(executor, this->currentSettings, [this](const WorkPointer& work) { this->onFinished(work); })
{
}

void Engine::start()
{
    asio::co_spawn(this->ioExecutor, this->prefills.run(), asio::detached);
    asio::co_spawn(this->ioExecutor, this->batch.run(), asio::detached);
    asio::co_spawn(this->ioExecutor, this->sampleLoad(), asio::detached);
}

StartRefusal Engine::startPrefill(const WorkPointer& work)
{
    StartRefusal refusal = this->admit(work, HoldKind::Prefill, work->promptTokens);
    if (refusal == StartRefusal::None)
        this->prefills.add(work);
    return refusal;
}

StartRefusal Engine::startDecode(const WorkPointer& work)
{
    if (this->placesFree() == 0)
        return this->shelf.serves(work->model) ? StartRefusal::Full : StartRefusal::UnknownModel;
    std::uint64_t toCome = work->endIndex - work->nextIndex;
    return this->admit(work, HoldKind::Decode, work->promptTokens + toCome);
}

StartRefusal Engine::admit(const WorkPointer& work, HoldKind kind, std::uint64_t tokens)
{
    if (!this->shelf.serves(work->model))
        return StartRefusal::UnknownModel;
    if (this->memory.holds(work->stream))
        return StartRefusal::StreamInUse;
    if (!this->memory.take(work->stream, kind, tokens))
        return StartRefusal::Full;
    work->isDecode = kind == HoldKind::Decode;
    this->works[work->stream] = work;
    return StartRefusal::None;
}

void Engine::joinBatch(const WorkPointer& work)
{
    if (!work->hasEnded())
        this->batch.add(work);
}

void Engine::computePrompt(const WorkPointer& work) { this->prefills.add(work); }

void Engine::onComputed(const WorkPointer& work)
{
    if (work->prompt.find(CrashInPrefillMarker) != std::string::npos)
        crash();
    ++this->prefillsDone;
    this->tokensComputed += work->promptTokens - work->cachedTokens;
    CacheChange change = this->cache.insert(work->prompt);
    std::chrono::milliseconds delay { this->currentSettings.cacheEventDelayMs };
    this->eventLog.record(std::move(change), delay, this->currentSettings.cacheEventLoss);
    if (work->isDecode)
        this->joinBatch(work);
    else
        this->keep(work);
}

void Engine::keep(const WorkPointer& work)
{
    work->kvHandle
        = "kv-" + std::to_string(this->currentIncarnation) + "-" + std::to_string(++this->lastHandle);
    work->kvBytes = work->promptTokens * this->currentSettings.kvBytesPerToken;
    this->memory.setKind(work->stream, HoldKind::Kept);
    this->exports.add(work->kvHandle, work->stream, work->kvBytes);
    asio::co_spawn(this->ioExecutor, this->evictLater(work->kvHandle), asio::detached);
    this->endWork(work, WorkState::Done);
}

asio::awaitable<void> Engine::evictLater(std::string handle)
{
    co_await pause(this->ioExecutor, std::chrono::milliseconds { this->currentSettings.keptForMs });
    KvExports::Export* kept = this->exports.find(handle);
    if (!kept)
        co_return;
    kept->isExpired = true;
    if (kept->readers > 0)
        co_return;
    ++this->resultsEvicted;
    this->removeExport(handle);
}

void Engine::removeExport(const std::string& handle)
{
    if (auto stream = this->exports.remove(handle))
        this->memory.release(*stream);
}

void Engine::onFinished(const WorkPointer& work)
{
    ++this->decodesDone;
    this->memory.release(work->stream);
    this->endWork(work, WorkState::Done);
}

void Engine::endWork(const WorkPointer& work, WorkState state)
{
    work->state = state;
    this->works.erase(work->stream);
    work->notify();
}

void Engine::cancel(const std::string& stream)
{
    ++this->cancels;
    auto found = this->works.find(stream);
    if (found != this->works.end()) {
        WorkPointer work = found->second;
        this->prefills.drop(work);
        this->batch.drop(work);
        this->endWork(work, WorkState::Cancelled);
        if (work->abortImport)
            work->abortImport();
    }
    this->exports.removeOf(stream);
    this->memory.release(stream);
}

void Engine::fail(const WorkPointer& work)
{
    if (work->hasEnded())
        return;
    this->memory.release(work->stream);
    this->endWork(work, WorkState::Cancelled);
}

KvExports::Export* Engine::beginExport(const std::string& handle)
{
    KvExports::Export* kept = this->exports.find(handle);
    if (kept)
        ++kept->readers;
    return kept;
}

void Engine::endExport(const std::string& handle, bool isWhole)
{
    KvExports::Export* kept = this->exports.find(handle);
    if (!kept)
        return;
    --kept->readers;
    bool isOver = isWhole || (kept->isExpired && kept->readers == 0);
    if (isOver)
        this->removeExport(handle);
}

StandinClock::time_point Engine::sendOverLink(std::uint64_t bytes)
{
    std::uint64_t rate = std::max<std::uint64_t>(1, this->currentSettings.linkBytesPerSecond);
    std::chrono::nanoseconds cost { bytes * NanosPerSecond / rate };
    this->linkFreeAt = std::max(StandinClock::now(), this->linkFreeAt) + cost;
    return this->linkFreeAt;
}

void Engine::restart()
{
    this->currentIncarnation = this->random();
    auto dropped = std::move(this->works);
    this->works.clear();
    this->prefills.clear();
    this->batch.clear();
    this->memory.clear();
    this->cache.clear();
    this->exports.clear();
    this->shelf.restart();
    for (const auto& [stream, work] : dropped) {
        work->state = WorkState::Dropped;
        work->notify();
        if (work->abortImport)
            work->abortImport();
    }
}

std::uint64_t Engine::placesFree() const
{
    std::uint64_t decoding = 0;
    for (const auto& [stream, hold] : this->memory.holds())
        decoding += hold.kind == HoldKind::Decode;
    return this->currentSettings.places - std::min<std::uint64_t>(decoding, this->currentSettings.places);
}

asio::awaitable<void> Engine::sampleLoad()
{
    while (true) {
        LoadSample sample;
        sample.at = StandinClock::now();
        sample.placesFree = this->placesFree();
        sample.backlogMs = millis(this->prefills.backlog());
        this->loadSamples.push_back(sample);
        auto shown = sample.at - std::chrono::milliseconds { this->currentSettings.loadLagMs };
        while (this->loadSamples.size() > 1 && this->loadSamples[1].at <= shown)
            this->loadSamples.pop_front();
        co_await pause(this->ioExecutor, LoadSampleInterval);
    }
}

} // namespace peridotgrade::standins
