// Prefill queue, KV transfers, decode steps and prefix cache of the engine model.
#include "engine_model.h"

#include "prompt_shape.h"

#include <algorithm>

namespace peridotgrade::bench {

namespace {

    Duration seconds(double value)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
    }

} // namespace

EngineModel::EngineModel(
    EngineModelSettings settings, std::string name, TimerService& timers, EngineDirectory& directory)
    : settings(std::move(settings))
    , name(std::move(name))
    , timers(timers)
    , directory(directory)
{
    this->directory[this->name] = this;
}

void EngineModel::emit(EngineEvent event)
{
    this->timers.subscribeAfter(
        Duration { 0 }, [this, incarnation = this->incarnation, event = std::move(event)] {
            if (incarnation == this->incarnation)
                this->handler(event);
        });
}

void EngineModel::start()
{
    EngineUp up;
    up.incarnation = Incarnation { ++this->incarnation };
    up.placesTotal = this->settings.slots;
    up.kvTokensTotal = this->settings.kvTokensTotal;
    up.kvTokensPerPiece = this->settings.kvTokensPerPiece;
    up.role = this->settings.role;
    up.models = { this->settings.model };
    up.prefillTokensPerSecond = this->settings.prefillTokensPerSecond;
    this->emit(up);
}

void EngineModel::crash()
{
    ++this->incarnation;
    this->waiting.clear();
    this->prefilling.reset();
    this->retainedResults.clear();
    this->importing.clear();
    this->decoding.clear();
    this->isStepping = false;
    this->prefixes.clear();
    this->prefixOrder.clear();
    this->timers.subscribeAfter(Duration { 0 }, [this] { this->handler(EngineDied {}); });
}

void EngineModel::onCommand(const EngineCommand& command)
{
    if (const auto* prefill = std::get_if<EnginePrefill>(&command))
        this->beginPrefill(*prefill);
    else if (const auto* decode = std::get_if<EngineDecode>(&command))
        this->beginDecode(*decode);
    else if (const auto* cancel = std::get_if<EngineCancel>(&command))
        this->cancel(cancel->stream);
    else {
        EngineListing listing;
        for (const auto& [stream, decode] : this->decoding)
            listing.streams.push_back(stream);
        for (const auto& [handle, result] : this->retainedResults)
            listing.streams.push_back(result.stream);
        this->emit(std::move(listing));
    }
}

LiveLoad EngineModel::load() const
{
    LiveLoad load;
    load.placesTotal = this->settings.slots;
    auto used = static_cast<std::uint32_t>(this->decoding.size() + this->importing.size());
    load.placesFree = load.placesTotal - std::min(load.placesTotal, used);
    double backlogTokens = 0;
    for (const Prefill& prefill : this->waiting)
        backlogTokens += decodeShape(prefill.prompt).promptTokens();
    load.prefillBacklog = std::chrono::duration_cast<std::chrono::milliseconds>(
        seconds(backlogTokens / this->settings.prefillTokensPerSecond));
    return load;
}

void EngineModel::beginPrefill(const EnginePrefill& command)
{
    this->waiting.push_back({ command.stream, command.prompt });
    this->startNextPrefill();
}

void EngineModel::startNextPrefill()
{
    if (this->prefilling || this->waiting.empty())
        return;
    Prefill next = std::move(this->waiting.front());
    this->waiting.pop_front();
    this->prefilling = next.stream;
    this->isPrefillCancelled = false;
    std::uint32_t tokens = decodeShape(next.prompt).promptTokens();
    std::uint32_t cached = this->lookUpPrefix(next.prompt);
    this->totals.prefillTokens += tokens - cached;
    Duration work = seconds((tokens - cached) / this->settings.prefillTokensPerSecond);
    this->timers.subscribeAfter(
        work, [this, incarnation = this->incarnation, next = std::move(next), cached] {
            if (incarnation != this->incarnation)
                return;
            this->prefilling.reset();
            this->finishPrefill(next, cached);
            this->startNextPrefill();
        });
}

void EngineModel::finishPrefill(const Prefill& prefill, std::uint32_t cachedTokens)
{
    std::uint32_t tokens = decodeShape(prefill.prompt).promptTokens();
    if (this->isPrefillCancelled) {
        this->totals.prefillTokensWasted += tokens - cachedTokens;
        return;
    }
    KvHandle handle { this->name + "-" + std::to_string(++this->lastHandle) };
    this->retainedResults[handle] = { prefill.stream, tokens - cachedTokens };
    EnginePrefillDone done;
    done.stream = prefill.stream;
    done.handle = handle;
    done.exporter = this->name;
    done.kvBytes = tokens * this->settings.kvBytesPerToken;
    done.cachedTokens = cachedTokens;
    done.keptFor = this->settings.keptFor;
    this->emit(std::move(done));
    this->timers.subscribeAfter(this->settings.keptFor, [this, incarnation = this->incarnation, handle] {
        if (incarnation == this->incarnation)
            this->evict(handle);
    });
}

void EngineModel::evict(const KvHandle& handle)
{
    auto found = this->retainedResults.find(handle);
    if (found == this->retainedResults.end())
        return;
    this->totals.prefillTokensWasted += found->second.tokens;
    this->retainedResults.erase(found);
}

bool EngineModel::takeResult(const KvHandle& handle) { return this->retainedResults.erase(handle) > 0; }

void EngineModel::beginDecode(const EngineDecode& command)
{
    PromptShape shape = decodeShape(command.prompt);
    Decode decode { command.firstIndex, shape.outputTokens };
    if (command.handle.raw().empty()) {
        double work = shape.promptTokens() / this->settings.prefillTokensPerSecond;
        this->totals.prefillTokens += shape.promptTokens();
        this->importing.insert(command.stream);
        this->timers.subscribeAfter(
            seconds(work), [this, incarnation = this->incarnation, stream = command.stream, decode] {
                if (incarnation == this->incarnation)
                    this->startStream(stream, decode);
            });
        return;
    }
    auto exporter = this->directory.find(command.exporter);
    if (exporter == this->directory.end() || !exporter->second->takeResult(command.handle)) {
        this->emit(EngineStreamFailed { command.stream, AttemptFailure::KvGone });
        return;
    }
    double bytes
        = static_cast<double>(shape.promptTokens()) * static_cast<double>(this->settings.kvBytesPerToken);
    this->linkFreeAt
        = std::max(this->linkFreeAt, this->timers.now()) + seconds(bytes / this->settings.linkBytesPerSecond);
    this->importing.insert(command.stream);
    this->timers.subscribeAt(
        this->linkFreeAt, [this, incarnation = this->incarnation, stream = command.stream, decode] {
            if (incarnation == this->incarnation)
                this->startStream(stream, decode);
        });
}

void EngineModel::startStream(const EngineStreamId& stream, Decode decode)
{
    if (this->importing.erase(stream) == 0)
        return;
    this->decoding[stream] = decode;
    this->scheduleStep();
}

void EngineModel::cancel(const EngineStreamId& stream)
{
    auto queued = std::find_if(this->waiting.begin(), this->waiting.end(),
        [&](const Prefill& prefill) { return prefill.stream == stream; });
    if (queued != this->waiting.end())
        this->waiting.erase(queued);
    else if (this->prefilling == stream)
        this->isPrefillCancelled = true;
    for (auto result = this->retainedResults.begin(); result != this->retainedResults.end(); ++result) {
        if (result->second.stream != stream)
            continue;
        KvHandle handle = result->first;
        this->evict(handle);
        break;
    }
    this->importing.erase(stream);
    this->decoding.erase(stream);
    this->emit(EngineCancelled { stream });
}

void EngineModel::scheduleStep()
{
    if (this->isStepping || this->decoding.empty())
        return;
    this->isStepping = true;
    Duration length
        = this->settings.stepBase + this->settings.stepPerStream * static_cast<int>(this->decoding.size());
    this->totals.slotSeconds
        += std::chrono::duration<double>(length).count() * static_cast<double>(this->decoding.size());
    this->timers.subscribeAfter(length, [this, incarnation = this->incarnation] {
        if (incarnation == this->incarnation)
            this->step();
    });
}

void EngineModel::step()
{
    this->isStepping = false;
    std::vector<EngineTokens> produced;
    for (auto& [stream, decode] : this->decoding) {
        EngineTokens tokens;
        tokens.stream = stream;
        tokens.firstIndex = decode.next++;
        tokens.pieces = { "t" };
        tokens.isLast = decode.next >= decode.end;
        produced.push_back(std::move(tokens));
    }
    this->totals.outputTokens += produced.size();
    for (EngineTokens& tokens : produced) {
        if (tokens.isLast)
            this->decoding.erase(tokens.stream);
        this->handler(tokens);
    }
    this->scheduleStep();
}

std::uint32_t EngineModel::lookUpPrefix(const std::string& prompt)
{
    PromptShape shape = decodeShape(prompt);
    if (shape.prefixTokens == 0)
        return 0;
    std::string key = std::to_string(shape.prefixId);
    auto found = this->prefixes.find(key);
    bool isCached = found != this->prefixes.end();
    if (isCached)
        this->prefixOrder.erase(found->second);
    this->prefixes[key] = this->prefixOrder.insert(this->prefixOrder.end(), key);
    constexpr std::uint32_t BlockTokens = 64;
    while (
        this->prefixes.size() * (shape.prefixTokens / BlockTokens + 1) > this->settings.prefixCacheBlocks) {
        this->prefixes.erase(this->prefixOrder.front());
        this->prefixOrder.pop_front();
    }
    return isCached ? shape.prefixTokens : 0;
}

} // namespace peridotgrade::bench
