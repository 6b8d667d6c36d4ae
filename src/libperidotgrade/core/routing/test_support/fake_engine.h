// Fake model engine in virtual time that accounts for its memory.
#pragma once

#include "fake_answer.h"
#include "peridotgrade/core/base/random_source.h"
#include "peridotgrade/core/base/timer_service.h"
#include "peridotgrade/core/hosting/engine_event.h"

#include <functional>
#include <map>
#include <string>

namespace peridotgrade::test {

struct FakeEngineSettings {
    std::string name;
    EngineRole role = EngineRole::Mixed;
    std::uint32_t batchSlots = 4;
    std::chrono::milliseconds tokenInterval { 20 };
    std::chrono::milliseconds keptFor { 400 };
    double prefillTokensPerSecond = 10000;
};

/// Holds memory for every started stream until it ends or is cancelled, whichever agent asks for that. Events
/// go to `emit`; `importKv` fetches, and thereby frees, an export of another engine.
class FakeEngine {
public:
    using Emit = std::function<void(EngineEvent)>;
    using ImportKv = std::function<bool(const std::string& exporter, const KvHandle& handle)>;

    FakeEngine(FakeEngineSettings settings, TimerService& clock, RandomSource& random)
        : settings(std::move(settings))
        , clock(clock)
        , random(random)
        , incarnation(random.next())
    {
    }

    Emit emit;
    ImportKv importKv;
    /// Fraction of KV transfers that never finish.
    double stalledTransfers = 0;
    std::uint64_t poisonCrashes = 0;

    std::size_t held() const { return this->streams.size(); }
    bool isUp() const { return this->up; }

    EngineUp description() const
    {
        EngineUp up;
        up.incarnation = Incarnation { this->incarnation };
        up.placesTotal = this->settings.batchSlots;
        up.kvTokensTotal = 4000;
        up.kvTokensPerPiece = 16;
        up.role = this->settings.role;
        up.models = { ModelId { "m" } };
        up.prefillTokensPerSecond = this->settings.prefillTokensPerSecond;
        return up;
    }

    void crash()
    {
        if (!this->up)
            return;
        this->up = false;
        this->streams.clear();
        this->emit(EngineDied {});
    }

    void restart()
    {
        if (this->up)
            return;
        this->up = true;
        this->incarnation = this->random.next();
        this->emit(this->description());
    }

    void onCommand(const EngineCommand& command)
    {
        if (this->up)
            std::visit([this](const auto& typed) { this->handle(typed); }, command);
    }

    /// Another engine reads an export, which frees it.
    bool exportKv(const KvHandle& handle)
    {
        auto found = this->streams.find(EngineStreamId { handle.raw() });
        if (found == this->streams.end() || !found->second.isKept)
            return false;
        this->streams.erase(found);
        return true;
    }

private:
    struct Stream {
        std::uint64_t serial = 0;
        bool isKept = false;
        std::string callersPrompt;
        std::uint32_t nextIndex = 0;
        std::uint32_t length = 0;
        bool isCutByLength = false;
    };

    /// Runs `step` after `delay` if the stream still exists and was not replaced under its id.
    void later(const EngineStreamId& id, Duration delay, void (FakeEngine::*step)(const EngineStreamId&))
    {
        std::uint64_t serial = this->streams[id].serial;
        this->clock.subscribeAfter(delay, [this, id, serial, step] {
            auto found = this->streams.find(id);
            if (found != this->streams.end() && found->second.serial == serial)
                (this->*step)(id);
        });
    }

    void fail(const EngineStreamId& id, AttemptFailure reason)
    {
        this->streams.erase(id);
        this->emit(EngineStreamFailed { id, reason });
    }

    Stream& add(const EngineStreamId& id, const std::string& prompt)
    {
        Stream stream;
        stream.serial = ++this->lastSerial;
        stream.callersPrompt = callersPart(prompt);
        return this->streams[id] = stream;
    }

    void handle(const EnginePrefill& command)
    {
        this->add(command.stream, command.prompt);
        // The simulated requests have 100 prompt tokens.
        std::chrono::duration<double> cost { 100 / this->settings.prefillTokensPerSecond };
        this->later(command.stream, std::chrono::duration_cast<Duration>(cost), &FakeEngine::endPrefill);
    }

    void endPrefill(const EngineStreamId& id)
    {
        Stream& stream = this->streams[id];
        // Some poison requests crash the prefill engine, others the decode engine.
        if (isPoison(stream.callersPrompt) && answerLength(stream.callersPrompt, 100) % 2 == 0) {
            this->crashOnPoison();
            return;
        }
        stream.isKept = true;
        EnginePrefillDone done;
        done.stream = id;
        done.handle = KvHandle { id.raw() };
        done.exporter = this->settings.name;
        done.keptFor = this->settings.keptFor;
        this->later(id, this->settings.keptFor, &FakeEngine::evict);
        this->emit(done);
    }

    void evict(const EngineStreamId& id) { this->streams.erase(id); }

    void handle(const EngineDecode& command)
    {
        if (!holdsPieces(command.prompt, command.firstIndex))
            throw std::logic_error("a resumed prompt is not the text that was sent: " + command.prompt);
        if (this->streams.size() >= this->settings.batchSlots) {
            this->emit(EngineStreamFailed { command.stream, AttemptFailure::EngineError });
            return;
        }
        Stream& stream = this->add(command.stream, command.prompt);
        stream.nextIndex = command.firstIndex;
        std::uint32_t most = command.firstIndex + command.maxOutputTokens;
        stream.length = answerLength(stream.callersPrompt, most);
        stream.isCutByLength = stream.length == most;
        if (command.handle.raw().empty()) {
            this->later(command.stream, this->settings.tokenInterval, &FakeEngine::produce);
            return;
        }
        if (this->random.unit() < this->stalledTransfers) {
            this->later(command.stream, command.transferTimeout, &FakeEngine::abortTransfer);
            return;
        }
        if (!this->importKv(command.exporter, command.handle)) {
            this->fail(command.stream, AttemptFailure::KvGone);
            return;
        }
        this->later(command.stream, this->settings.tokenInterval, &FakeEngine::produce);
    }

    void abortTransfer(const EngineStreamId& id) { this->fail(id, AttemptFailure::TransferStalled); }

    void produce(const EngineStreamId& id)
    {
        Stream& stream = this->streams[id];
        if (isPoison(stream.callersPrompt) && stream.nextIndex >= 2) {
            this->crashOnPoison();
            return;
        }
        EngineTokens tokens;
        tokens.stream = id;
        tokens.firstIndex = stream.nextIndex;
        if (stream.nextIndex < stream.length)
            tokens.pieces.push_back(answerPiece(stream.callersPrompt, stream.nextIndex++, id.raw()));
        tokens.isLast = stream.nextIndex >= stream.length;
        tokens.finishReason = stream.isCutByLength ? FinishReason::Length : FinishReason::Stop;
        if (tokens.isLast)
            this->streams.erase(id);
        else
            this->later(id, this->settings.tokenInterval, &FakeEngine::produce);
        this->emit(tokens);
    }

    void crashOnPoison()
    {
        ++this->poisonCrashes;
        this->crash();
    }

    void handle(const EngineCancel& command)
    {
        this->streams.erase(command.stream);
        this->emit(EngineCancelled { command.stream });
    }

    void handle(const EngineList&)
    {
        EngineListing listing;
        for (const auto& [id, stream] : this->streams)
            listing.streams.push_back(id);
        this->emit(listing);
    }

    FakeEngineSettings settings;
    TimerService& clock;
    RandomSource& random;
    std::uint64_t incarnation;
    bool up = true;
    std::uint64_t lastSerial = 0;
    /// Invariant: contains everything that the engine holds memory for.
    std::map<EngineStreamId, Stream> streams;
};

} // namespace peridotgrade::test
