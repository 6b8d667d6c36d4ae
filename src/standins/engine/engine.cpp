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
    , loadedModels(executor, this->currentSettings)
    , prefills(executor, this->currentSettings, this->cache,
          [this](const StreamTaskPointer& task) { this->onComputed(task); })
    , batch(
          executor, this->currentSettings, [this](const StreamTaskPointer& task) { this->onFinished(task); })
{
}

void Engine::start()
{
    asio::co_spawn(this->ioExecutor, this->prefills.run(), asio::detached);
    asio::co_spawn(this->ioExecutor, this->batch.run(), asio::detached);
    asio::co_spawn(this->ioExecutor, this->sampleLoad(), asio::detached);
}

StartRefusal Engine::startPrefill(const StreamTaskPointer& task)
{
    StartRefusal refusal = this->admit(task, ReservationKind::Prefill, task->promptTokens);
    if (refusal == StartRefusal::None)
        this->prefills.add(task);
    return refusal;
}

StartRefusal Engine::startDecode(const StreamTaskPointer& task)
{
    if (this->placesFree() == 0)
        return this->loadedModels.serves(task->model) ? StartRefusal::Full : StartRefusal::UnknownModel;
    std::uint64_t outputTokens = task->endIndex - task->nextIndex;
    return this->admit(task, ReservationKind::Decode, task->promptTokens + outputTokens);
}

StartRefusal Engine::admit(const StreamTaskPointer& task, ReservationKind kind, std::uint64_t tokens)
{
    if (!this->loadedModels.serves(task->model))
        return StartRefusal::UnknownModel;
    if (this->memory.hasReservation(task->stream))
        return StartRefusal::StreamInUse;
    if (!this->memory.reserve(task->stream, kind, tokens))
        return StartRefusal::Full;
    task->isDecode = kind == ReservationKind::Decode;
    this->tasks[task->stream] = task;
    return StartRefusal::None;
}

void Engine::joinBatch(const StreamTaskPointer& task)
{
    if (!task->hasEnded())
        this->batch.add(task);
}

void Engine::computePrompt(const StreamTaskPointer& task) { this->prefills.add(task); }

void Engine::onComputed(const StreamTaskPointer& task)
{
    if (task->prompt.find(CrashInPrefillMarker) != std::string::npos)
        crash();
    ++this->prefillsDone;
    this->tokensComputed += task->promptTokens - task->cachedTokens;
    CacheChange change = this->cache.insert(task->prompt);
    std::chrono::milliseconds delay { this->currentSettings.cacheEventDelayMs };
    this->eventLog.record(std::move(change), delay, this->currentSettings.cacheEventLoss);
    if (task->isDecode)
        this->joinBatch(task);
    else
        this->retainForExport(task);
}

void Engine::retainForExport(const StreamTaskPointer& task)
{
    task->kvHandle
        = "kv-" + std::to_string(this->currentIncarnation) + "-" + std::to_string(++this->lastHandle);
    task->kvBytes = task->promptTokens * this->currentSettings.kvBytesPerToken;
    this->memory.setKind(task->stream, ReservationKind::Kept);
    this->exports.add(task->kvHandle, task->stream, task->kvBytes);
    asio::co_spawn(this->ioExecutor, this->evictLater(task->kvHandle), asio::detached);
    this->endTask(task, StreamTaskState::Done);
}

asio::awaitable<void> Engine::evictLater(std::string handle)
{
    co_await pause(this->ioExecutor, std::chrono::milliseconds { this->currentSettings.keptForMs });
    KvExports::Export* exported = this->exports.find(handle);
    if (!exported)
        co_return;
    exported->isExpired = true;
    if (exported->readers > 0)
        co_return;
    ++this->resultsEvicted;
    this->removeExport(handle);
}

void Engine::removeExport(const std::string& handle)
{
    if (auto stream = this->exports.remove(handle))
        this->memory.release(*stream);
}

void Engine::onFinished(const StreamTaskPointer& task)
{
    ++this->decodesDone;
    this->memory.release(task->stream);
    this->endTask(task, StreamTaskState::Done);
}

void Engine::endTask(const StreamTaskPointer& task, StreamTaskState state)
{
    task->state = state;
    this->tasks.erase(task->stream);
    task->notify();
}

void Engine::cancel(const std::string& stream)
{
    ++this->cancels;
    auto found = this->tasks.find(stream);
    if (found != this->tasks.end()) {
        StreamTaskPointer task = found->second;
        this->prefills.drop(task);
        this->batch.drop(task);
        this->endTask(task, StreamTaskState::Cancelled);
        if (task->abortImport)
            task->abortImport();
    }
    this->exports.removeByStream(stream);
    this->memory.release(stream);
}

void Engine::fail(const StreamTaskPointer& task)
{
    if (task->hasEnded())
        return;
    this->memory.release(task->stream);
    this->endTask(task, StreamTaskState::Cancelled);
}

KvExports::Export* Engine::beginExport(const std::string& handle)
{
    KvExports::Export* exported = this->exports.find(handle);
    if (exported)
        ++exported->readers;
    return exported;
}

void Engine::endExport(const std::string& handle, bool isComplete)
{
    KvExports::Export* exported = this->exports.find(handle);
    if (!exported)
        return;
    --exported->readers;
    bool shouldRemove = isComplete || (exported->isExpired && exported->readers == 0);
    if (shouldRemove)
        this->removeExport(handle);
}

StandinClock::time_point Engine::scheduleOnLink(std::uint64_t bytes)
{
    std::uint64_t rate = std::max<std::uint64_t>(1, this->currentSettings.linkBytesPerSecond);
    std::chrono::nanoseconds cost { bytes * NanosPerSecond / rate };
    this->linkFreeAt = std::max(StandinClock::now(), this->linkFreeAt) + cost;
    return this->linkFreeAt;
}

void Engine::restart()
{
    this->currentIncarnation = this->random();
    auto dropped = std::move(this->tasks);
    this->tasks.clear();
    this->prefills.clear();
    this->batch.clear();
    this->memory.clear();
    this->cache.clear();
    this->exports.clear();
    this->loadedModels.restart();
    for (const auto& [stream, task] : dropped) {
        task->state = StreamTaskState::Dropped;
        task->notify();
        if (task->abortImport)
            task->abortImport();
    }
}

std::uint64_t Engine::placesFree() const
{
    std::uint64_t decoding = 0;
    for (const auto& [stream, reservation] : this->memory.reservations())
        decoding += reservation.kind == ReservationKind::Decode;
    return this->currentSettings.places - std::min<std::uint64_t>(decoding, this->currentSettings.places);
}

asio::awaitable<void> Engine::sampleLoad()
{
    while (true) {
        LoadSample sample;
        sample.at = StandinClock::now();
        sample.placesFree = this->placesFree();
        sample.backlog = this->prefills.backlog();
        this->loadSamples.push_back(sample);
        auto shown = sample.at - std::chrono::milliseconds { this->currentSettings.loadLagMs };
        while (this->loadSamples.size() > 1 && this->loadSamples[1].at <= shown)
            this->loadSamples.pop_front();
        co_await pause(this->ioExecutor, LoadSampleInterval);
    }
}

} // namespace peridotgrade::standins
