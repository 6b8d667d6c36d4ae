// Sends the messages of many entry shards to one host and processes its actions.
#include "host_bench.h"

#include <string>
#include <unordered_map>

namespace peridotgrade::bench {

namespace {
    constexpr std::uint32_t KvTokensPerReservation = 4096;
    constexpr std::uint32_t KvTokensPerPiece = 64;
    constexpr std::uint32_t OutputTokens = 256;
} // namespace

class HostBench::Impl {
public:
    explicit Impl(std::uint32_t placesTotal)
        : random(1)
        , host(makeSettings(), this->timers, this->random, this->events)
    {
        EngineUp up;
        up.incarnation = Incarnation { 1 };
        up.placesTotal = placesTotal;
        up.kvTokensTotal = static_cast<std::uint64_t>(placesTotal) * KvTokensPerReservation;
        up.kvTokensPerPiece = KvTokensPerPiece;
        up.role = EngineRole::Decode;
        up.models = { ModelId { "m" } };
        up.prefillTokensPerSecond = 10'000;
        this->host.onEngineEvent(up);
        this->drainActions();
        this->host.onEngineEvent(EngineListing {});
        this->drainActions();
    }

    static ModelHostSettings makeSettings()
    {
        ModelHostSettings settings;
        settings.agent = AgentId { "vm" };
        settings.incarnation = Incarnation { 1 };
        return settings;
    }

    void openSessions(std::uint32_t count)
    {
        for (std::uint32_t i = 0; i < count; ++i) {
            ConnectionId connection { ++this->lastConnection };
            this->host.onConnected(connection);
            OpenSession open;
            open.entry = EntryId { "entry" + std::to_string(this->lastConnection) + "/0" };
            open.incarnation = Incarnation { this->lastConnection };
            this->host.onMessage(connection, open);
            this->drainActions();
        }
    }

    void startStreams(std::uint32_t count, std::uint32_t promptBytes)
    {
        for (std::uint32_t i = 0; i < count; ++i) {
            ConnectionId connection { 1 + i % this->lastConnection };
            ReservationRequest request;
            request.epoch = this->epochs[connection];
            request.attempt = { RequestId { ++this->lastRequest }, 1 };
            request.model = ModelId { "m" };
            request.promptTokens = promptBytes / 4;
            request.maxOutputTokens = OutputTokens;
            this->host.onMessage(connection, request);
            StartDecode decode;
            decode.epoch = request.epoch;
            decode.attempt = request.attempt;
            decode.model = request.model;
            decode.prompt = std::string(promptBytes, 'x');
            decode.handle = KvHandle { "handle" };
            decode.exporter = "127.0.0.1:1";
            decode.timeLeft = std::chrono::milliseconds { 1000 };
            this->host.onMessage(connection, decode);
            this->drainActions();
        }
    }

    void drainActions()
    {
        for (HostAction& action : this->host.takeActions()) {
            auto* message = std::get_if<SendToEntry>(&action);
            if (!message)
                continue;
            if (const auto* opened = std::get_if<SessionOpened>(&message->message))
                this->epochs[message->connection] = opened->epoch;
        }
    }

    TimerService timers;
    RandomSource random;
    NullEventSink events;
    ModelHost host;
    std::unordered_map<ConnectionId, SessionEpoch> epochs;
    std::uint64_t lastConnection = 0;
    std::uint64_t lastRequest = 0;
};

HostBench::HostBench(std::uint32_t placesTotal)
    : impl(std::make_unique<Impl>(placesTotal))
{
}

HostBench::~HostBench() = default;

void HostBench::openSessions(std::uint32_t count) { this->impl->openSessions(count); }

void HostBench::startStreams(std::uint32_t count, std::uint32_t promptBytes)
{
    this->impl->startStreams(count, promptBytes);
}

std::uint32_t HostBench::reservationsHeld() const { return this->impl->host.counters().reservationsHeld; }

} // namespace peridotgrade::bench
