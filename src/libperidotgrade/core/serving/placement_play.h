// Plays requests of several entries on engines of unequal speed in virtual time.
#pragma once

#include "placement_deployment.h"
#include "placement_tally.h"

#include "peridotgrade/core/base/timer_service.h"
#include "peridotgrade/core/serving/admission_queue.h"
#include "peridotgrade/core/serving/peer_observations.h"
#include "peridotgrade/core/serving/prefill_cost.h"
#include "peridotgrade/core/serving/server_pace.h"

#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace peridotgrade::placement_play {

using namespace std::chrono_literals;

inline Duration seconds(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}
inline double secondsOf(Duration value) { return std::chrono::duration<double>(value).count(); }

class Simulation {
public:
    Simulation(const Deployment& deployment, std::uint64_t seed)
        : deployment(deployment)
        , random(seed)
        , peerRandom(seed)
    {
        std::size_t count = deployment.prefill + deployment.decode;
        for (std::size_t index = 0; index < count; ++index) {
            auto engine = std::make_unique<Engine>();
            engine->speed = index % 3 == 2 ? deployment.fast : deployment.slow;
            engine->record.id = ServerId { "e" + std::to_string(index) };
            engine->record.service = ServiceId { "model" };
            engine->record.dataCentre = DataCentreId { std::to_string(index % 4 % 3) };
            bool isPrefill = index < deployment.prefill;
            engine->record.role = isPrefill ? ServerRole::Prefill : ServerRole::Decode;
            (isPrefill ? this->prefillRecords : this->decodeRecords).push_back(&engine->record);
            this->engines[engine->record.id] = engine.get();
            this->all.push_back(std::move(engine));
        }
        for (std::size_t index = 0; index < deployment.entries; ++index)
            this->entries.push_back(std::make_unique<Entry>(deployment));
    }

    Tally run(std::chrono::seconds length)
    {
        this->end = TimePoint { length };
        for (auto& engine : this->all)
            this->makeQuiet(*engine);
        this->arriveNext();
        this->everySecond();
        while (auto due = this->timers.nextDue())
            this->timers.advance(*due);
        return this->tally;
    }

private:
    struct Stream {
        RequestId request;
        std::uint32_t eventsLeft = 0;
        TimePoint lastEventAt {};
    };
    struct Prefill {
        RequestId request;
        std::uint32_t tokens = 0;
    };
    struct Engine {
        ServerRecord record;
        double speed = 1;
        double slowness = 1;
        std::uint32_t used = 0;
        std::vector<Stream> streams;
        bool isStepping = false;
        std::deque<Prefill> prefills;
    };
    struct Entry {
        explicit Entry(const Deployment& deployment)
        {
            if (deployment.hasBacklog)
                this->prefillLoad.useBacklog(this->backlog);
            if (!deployment.isPaced)
                return;
            this->decodeLoad.usePace(this->pace, DecodeSelectivity);
            this->prefillLoad.usePace(this->pace, PrefillSelectivity);
        }
        ServerPace pace;
        EngineBacklog backlog;
        PeerObservations observations;
        EngineLoad decodeLoad;
        EngineLoad prefillLoad;
        ServerLimits limits;
        AdmissionQueue queue { decodeLoad, limits };
        PrefillCost cost;
        std::optional<TimePoint> nextDispatchAt;
    };
    struct Request {
        std::size_t entry = 0;
        std::uint32_t prompt = 0;
        std::uint32_t output = 0;
        TimePoint arrivedAt {};
        TimePoint prefillSentAt {};
        ReservationCall reservation;
        ServerId prefillAt;
        bool isLate = false;
        bool hasBegun = false;
        TimePoint grantedAt {};
    };

    double exponential(double mean) { return -std::log(1 - this->random.unit()) * mean; }
    /// Log-normal with mean 1.
    double spread(double sigma)
    {
        double normal
            = std::sqrt(-2 * std::log(1 - this->random.unit())) * std::cos(6.283185307 * this->random.unit());
        return std::exp(sigma * normal - sigma * sigma / 2);
    }

    void makeQuiet(Engine& engine)
    {
        engine.slowness = 1;
        this->later(this->exponential(NoiseSeconds * (1 - NoiseShare) / NoiseShare), [this, &engine] {
            if (this->timers.now() >= this->end)
                return;
            engine.slowness = this->deployment.noise;
            this->later(NoiseSeconds, [this, &engine] { this->makeQuiet(engine); });
        });
    }

    void later(double delay, TimerService::Callback callback)
    {
        this->timers.subscribeAfter(seconds(delay), std::move(callback));
    }

    void everySecond()
    {
        this->later(1, [this] {
            if (this->timers.now() >= this->end)
                return;
            if (this->deployment.isSharing)
                this->share();
            if (!this->tally.speedsKnownAt && this->knownShare() >= KnownShare)
                this->tally.speedsKnownAt = this->timers.now();
            this->everySecond();
        });
    }

    void share()
    {
        ServerLookup find = [this](const ServerId& id) { return &this->engines.at(id)->record; };
        for (std::size_t sender = 0; sender < this->entries.size(); ++sender) {
            std::vector<std::string> peers;
            for (std::size_t index = 0; index < this->entries.size(); ++index) {
                if (index != sender)
                    peers.push_back(std::to_string(index));
            }
            Entry& entry = *this->entries[sender];
            auto receivers = PeerObservations::drawReceivers(std::move(peers), this->peerRandom);
            for (const PaceDigest& digest : entry.observations.nextDigests(entry.pace)) {
                for (const std::string& receiver : receivers)
                    this->entries[std::stoul(receiver)]->observations.accept(
                        std::to_string(sender), digest, find, this->timers.now());
            }
        }
        for (auto& entry : this->entries)
            entry->observations.advance(entry->pace, find, this->timers.now());
    }

    double knownShare() const
    {
        std::size_t known = 0;
        std::size_t fast = 0;
        for (const auto& engine : this->all) {
            if (engine->speed <= 1)
                continue;
            fast += this->entries.size();
            for (const auto& entry : this->entries)
                known += entry->pace.ratio(engine->record) < KnownRatio ? 1 : 0;
        }
        return fast == 0 ? 0 : static_cast<double>(known) / static_cast<double>(fast);
    }

    void arriveNext()
    {
        this->later(this->exponential(1 / this->deployment.perSecond), [this] {
            if (this->timers.now() >= this->end)
                return;
            this->submit();
            this->arriveNext();
        });
    }

    void submit()
    {
        RequestId id { ++this->lastId };
        Request request;
        request.entry = this->random.below(this->entries.size());
        request.prompt = static_cast<std::uint32_t>(3200 * this->spread(0.4));
        request.output
            = std::min<std::uint32_t>(1900, 8 + static_cast<std::uint32_t>(750 * this->spread(0.7)));
        request.arrivedAt = this->timers.now();
        this->tally.requests += isCounted(request) ? 1 : 0;
        this->open[id] = request;
        std::uint32_t tokens = std::min(EngineTokens, request.prompt + request.output + 400);
        auto rejection = this->entries[request.entry]->queue.add(
            { id, request.arrivedAt + ReservationWait, tokens }, request.arrivedAt);
        if (!rejection)
            this->schedule(request.entry);
        else
            this->reject(id);
    }

    void reject(RequestId id)
    {
        this->tally.rejected += isCounted(this->open.at(id)) ? 1 : 0;
        this->open.erase(id);
    }

    static bool isCounted(const Request& request) { return request.arrivedAt > CountedFrom; }

    void schedule(std::size_t index)
    {
        Entry& entry = *this->entries[index];
        ReservationSchedule schedule = entry.queue.schedule(this->decodeRecords,
            DataCentreId { std::to_string(index % 3) }, this->timers.now(), this->random);
        for (RequestId id : schedule.overdue)
            this->reject(id);
        for (const ReservationCall& call : schedule.calls) {
            this->timers.subscribeAfter(RoundTrip, [this, index, call] { this->onAnswer(index, call); });
        }
        bool isSooner
            = schedule.nextAt && (!entry.nextDispatchAt || *schedule.nextAt < *entry.nextDispatchAt);
        if (!isSooner)
            return;
        entry.nextDispatchAt = schedule.nextAt;
        this->timers.subscribeAt(*schedule.nextAt, [this, index, due = *schedule.nextAt] {
            if (this->entries[index]->nextDispatchAt != due)
                return;
            this->entries[index]->nextDispatchAt.reset();
            this->schedule(index);
        });
    }

    void report(Entry& entry, Engine& engine)
    {
        bool isPrefill = engine.record.role == ServerRole::Prefill;
        std::size_t count = isPrefill ? engine.prefills.size() : engine.streams.size();
        entry.pace.noteReport(engine.record,
            { static_cast<std::uint32_t>(std::min<std::size_t>(count, isPrefill ? 1 : count)),
                static_cast<std::uint32_t>(isPrefill && count > 0 ? count - 1 : 0), 64, engine.slowness },
            this->timers.now());
    }

    void onAnswer(std::size_t index, const ReservationCall& call)
    {
        Entry& entry = *this->entries[index];
        Engine& engine = *this->engines[call.engine];
        this->report(entry, engine);
        bool hasRoom = engine.used + call.tokens <= EngineTokens;
        auto result = hasRoom ? ReservationResult::Granted : ReservationResult::Refused;
        bool isServed = entry.queue.onAnswer(call, result, this->timers.now());
        if (isServed) {
            engine.used += call.tokens;
            this->prefill(call);
        } else if (hasRoom) {
            entry.decodeLoad.release(call.engine, call.tokens);
        }
        this->schedule(index);
    }

    void prefill(const ReservationCall& call)
    {
        Request& request = this->open.at(call.request);
        Entry& entry = *this->entries[request.entry];
        request.reservation = call;
        request.prefillSentAt = this->timers.now();
        request.grantedAt = this->timers.now();
        auto choice = entry.prefillLoad.choose(this->prefillRecords,
            this->engines[call.engine]->record.dataCentre, request.prompt, this->timers.now(), this->random);
        request.prefillAt = *choice;
        entry.prefillLoad.reserve(*choice, request.prompt);
        Engine& engine = *this->engines[*choice];
        if (isCounted(request))
            ++(engine.speed > 1 ? this->tally.fastPrefills : this->tally.slowPrefills);
        engine.prefills.push_back({ call.request, request.prompt });
        if (engine.prefills.size() == 1)
            this->startPrefill(engine);
    }

    void startPrefill(Engine& engine)
    {
        double work = PrefillFixed + PrefillPerToken * engine.prefills.front().tokens;
        this->later(work * engine.slowness / engine.speed, [this, &engine] {
            RequestId id = engine.prefills.front().request;
            engine.prefills.pop_front();
            if (!engine.prefills.empty())
                this->startPrefill(engine);
            this->later(secondsOf(RoundTrip), [this, id, &engine] { this->onPrefilled(id, engine); });
        });
    }

    void onPrefilled(RequestId id, Engine& engine)
    {
        Request& request = this->open.at(id);
        Entry& entry = *this->entries[request.entry];
        this->report(entry, engine);
        entry.prefillLoad.release(engine.record.id, request.prompt);
        Duration took = this->timers.now() - request.prefillSentAt;
        entry.pace.record(engine.record, PaceSample::Prefill,
            secondsOf(entry.cost.atMeanSize(request.prompt, took)), this->timers.now());
        if (auto cost = entry.cost.estimate(request.prompt))
            entry.backlog.record(engine.record, request.prompt, *cost, took, this->timers.now());
        entry.cost.record(request.prompt, took);
        this->later(secondsOf(RoundTrip) + 0.02, [this, id] { this->startStream(id); });
    }

    void startStream(RequestId id)
    {
        Request& request = this->open.at(id);
        Engine& engine = *this->engines[request.reservation.engine];
        if (isCounted(request))
            ++(engine.speed > 1 ? this->tally.fastStreams : this->tally.slowStreams);
        engine.streams.push_back({ id, request.output / TokensPerEvent + 1, {} });
        if (!engine.isStepping)
            this->step(engine);
    }

    void step(Engine& engine)
    {
        engine.isStepping = !engine.streams.empty();
        if (!engine.isStepping)
            return;
        double work = StepFixed + StepPerStream * static_cast<double>(engine.streams.size());
        std::size_t count = engine.streams.size();
        this->later(work * engine.slowness / engine.speed, [this, &engine, count] {
            for (std::size_t index = 0; index < count; ++index)
                this->onEvent(engine, engine.streams[index]);
            std::erase_if(engine.streams, [](const Stream& each) { return each.eventsLeft == 0; });
            this->step(engine);
        });
    }

    void onEvent(Engine& engine, Stream& stream)
    {
        Request& request = this->open.at(stream.request);
        Entry& entry = *this->entries[request.entry];
        TimePoint now = this->timers.now();
        if (request.hasBegun) {
            Duration gap = now - stream.lastEventAt;
            request.isLate = request.isLate || gap > 300ms;
            entry.pace.recordEvents(engine.record, 1, gap, 300ms, now);
        } else {
            request.isLate = now - request.arrivedAt > Target;
            request.hasBegun = true;
        }
        stream.lastEventAt = now;
        if (--stream.eventsLeft > 0)
            return;
        if (isCounted(request)) {
            ++(request.isLate ? this->tally.late : this->tally.onTime);
            this->tally.streamTime += secondsOf(now - request.grantedAt);
        }
        engine.used -= request.reservation.tokens;
        entry.decodeLoad.release(engine.record.id, request.reservation.tokens);
        std::size_t index = request.entry;
        this->open.erase(stream.request);
        this->timers.subscribeAfter(0ns, [this, index] { this->schedule(index); });
    }

    const Deployment deployment;
    TimerService timers;
    RandomSource random;
    /// Draws the receivers of digests, so that sharing changes no other draw.
    RandomSource peerRandom;
    TimePoint end;
    std::vector<std::unique_ptr<Engine>> all;
    std::map<ServerId, Engine*> engines;
    std::vector<const ServerRecord*> prefillRecords;
    std::vector<const ServerRecord*> decodeRecords;
    std::vector<std::unique_ptr<Entry>> entries;
    std::map<RequestId, Request> open;
    std::uint64_t lastId = 0;
    Tally tally;
};

} // namespace peridotgrade::placement_play
