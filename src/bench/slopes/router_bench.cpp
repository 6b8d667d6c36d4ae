// Plays the agents of one router: grants, prefill results and tokens follow each message at once.
#include "router_bench.h"

#include "peridotgrade/wire/codec.h"

#include <deque>
#include <string>

namespace peridotgrade::bench {

namespace {
    constexpr std::uint32_t OutputTokens = 100'000;
    constexpr std::chrono::milliseconds LeaseDuration { 3000 };
} // namespace

class RouterBench::Impl {
public:
    explicit Impl(std::uint32_t engines)
        : random(1)
        , router(
              makeSettings(), TwoChoicePolicy {}, this->timers, this->random, this->quarantine, this->events)
    {
        RoutingView view;
        view.version = ConfigVersion { 1 };
        for (std::uint32_t i = 0; i < engines; ++i) {
            AgentId agent { "vm" + std::to_string(i) };
            EngineRole role = i % 3 == 0 ? EngineRole::Prefill : EngineRole::Decode;
            view.engines.push_back({ agent, DataCentreId { "dc" }, ModelId { "m" }, role });
        }
        this->router.updateView(view);
        for (const EngineCandidate& engine : view.engines)
            this->router.onAgentConnected(engine.agent);
        this->drainActions();
    }

    static ModelRouterSettings makeSettings()
    {
        ModelRouterSettings settings;
        settings.entry = EntryId { "entry/0" };
        settings.incarnation = Incarnation { 1 };
        settings.dataCentre = DataCentreId { "dc" };
        return settings;
    }

    void openRequest(std::uint32_t promptBytes)
    {
        ModelRequest request;
        request.id = RequestId { ++this->lastRequest };
        request.model = ModelId { "m" };
        request.prompt = std::string(promptBytes, 'x') + std::to_string(this->lastRequest);
        request.promptTokens = promptBytes / 4;
        request.maxOutputTokens = OutputTokens;
        request.firstTokenDue = this->timers.now() + std::chrono::seconds { 1 };
        request.deadline = this->timers.now() + std::chrono::hours { 10 };
        this->router.submit(std::move(request));
        this->drainActions();
    }

    void finishOldest(std::uint32_t tokens)
    {
        Stream stream = this->streams.front();
        this->streams.pop_front();
        for (std::uint32_t i = 0; i < tokens; ++i)
            this->sendToken(stream, i + 1, i + 1 == tokens);
        this->drainActions();
    }

    void advance(Duration length)
    {
        TimePoint end = this->timers.now() + length;
        for (TimePoint at = this->timers.now(); at < end; at += LeaseDuration / 10) {
            this->timers.advance(at);
            this->drainActions();
        }
    }

    TimerService timers;
    RandomSource random;
    Quarantine quarantine;
    NullEventSink events;
    ModelRouter<TwoChoicePolicy> router;
    Traffic totals;

private:
    struct Stream {
        AgentId agent;
        AttemptId attempt;
    };

    void answer(const AgentId& agent, const AgentMessage& message)
    {
        ++this->totals.messagesIn;
        this->totals.bytesIn += encode(message).size();
        this->router.onMessage(agent, message);
    }

    void sendToken(const Stream& stream, std::uint32_t index, bool isLast)
    {
        TokenFrame frame;
        frame.attempt = stream.attempt;
        frame.firstIndex = index;
        frame.pieces = { "piece " };
        frame.isLast = isLast;
        this->answer(stream.agent, frame);
    }

    void drainActions()
    {
        auto actions = this->router.takeActions();
        while (!actions.empty()) {
            for (RouterAction& action : actions) {
                if (auto* message = std::get_if<SendToAgent>(&action))
                    this->onSent(*message);
            }
            actions = this->router.takeActions();
        }
    }

    void onSent(const SendToAgent& sent)
    {
        std::size_t size = encode(sent.message).size();
        ++this->totals.messagesOut;
        this->totals.bytesOut += size;
        if (std::holds_alternative<RenewSession>(sent.message)) {
            ++this->totals.renewals;
            this->totals.renewalBytes += size;
        }
        this->reply(sent);
    }

    void reply(const SendToAgent& sent)
    {
        LiveLoad load { 10, 20, 0, std::chrono::milliseconds { 0 } };
        if (std::holds_alternative<OpenSession>(sent.message)) {
            SessionOpened opened;
            opened.agent = sent.agent;
            opened.incarnation = Incarnation { 1 };
            opened.epoch = SessionEpoch { ++this->lastEpoch };
            opened.leaseDuration = LeaseDuration;
            this->answer(sent.agent, opened);
        } else if (const auto* request = std::get_if<ReservationRequest>(&sent.message)) {
            this->answer(sent.agent, ReservationGranted { request->attempt, load });
        } else if (const auto* prefill = std::get_if<StartPrefill>(&sent.message)) {
            PrefillFinished finished;
            finished.attempt = prefill->attempt;
            finished.handle = KvHandle { "handle" };
            finished.exporter = "127.0.0.1:1";
            finished.keptFor = std::chrono::milliseconds { 800 };
            finished.load = load;
            this->answer(sent.agent, finished);
        } else if (const auto* decode = std::get_if<StartDecode>(&sent.message)) {
            Stream stream { sent.agent, decode->attempt };
            this->streams.push_back(stream);
            this->sendToken(stream, 0, false);
        }
    }

    std::deque<Stream> streams;
    std::uint64_t lastRequest = 0;
    std::uint64_t lastEpoch = 0;
};

RouterBench::RouterBench(std::uint32_t engines)
    : impl(std::make_unique<Impl>(engines))
{
}

RouterBench::~RouterBench() = default;

void RouterBench::openRequest(std::uint32_t promptBytes) { this->impl->openRequest(promptBytes); }

void RouterBench::finishOldest(std::uint32_t tokens) { this->impl->finishOldest(tokens); }

void RouterBench::advance(Duration length) { this->impl->advance(length); }

const Traffic& RouterBench::traffic() const { return this->impl->totals; }

std::size_t RouterBench::openRequests() const { return this->impl->router.openRequests(); }

} // namespace peridotgrade::bench
