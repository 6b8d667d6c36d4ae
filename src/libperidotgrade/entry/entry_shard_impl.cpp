// Handling of agents' messages and of the actions of the state machines in an entry shard.
#include "entry_shard_impl.h"

#include "peridotgrade/wire/codec.h"

namespace peridotgrade {

namespace {

    ModelRouterSettings routerSettings(const EntryShardSettings& settings)
    {
        ModelRouterSettings result;
        result.entry = settings.entry;
        result.incarnation = settings.incarnation;
        result.dataCentre = settings.dataCentre;
        return result;
    }

    ActionRouterSettings callSettings(const EntryShardSettings& settings)
    {
        ActionRouterSettings result;
        result.entry = settings.entry;
        result.dataCentre = settings.dataCentre;
        result.claimRetention = settings.logRetention;
        return result;
    }

} // namespace

EntryShard::Impl::Impl(boost::asio::any_io_executor executor, EntryShardSettings settings, ShardHost& host,
    EventSink& events, HybridClock& clock)
    : settings(std::move(settings))
    , host(host)
    , events(events)
    , clock(clock)
    , timers(TimerDriver::now())
    , random(this->settings.seed)
    , configuration(std::make_shared<ConfigurationInForce>())
    , models(routerSettings(this->settings), TwoChoicePolicy {}, this->timers, this->random, this->quarantine,
          events)
    , calls(callSettings(this->settings), this->timers, this->random, events)
    , links(executor, this->settings.frames, this->timers, this->random)
{
}

void EntryShard::Impl::begin()
{
    std::weak_ptr<Impl> weak = this->weak_from_this();
    this->links.setListener(weak);
    auto onDue = [weak] {
        if (auto self = weak.lock())
            self->run([] {});
    };
    this->driver = std::make_unique<TimerDriver>(this->links.getExecutor(), std::move(onDue));
}

void EntryShard::Impl::onConnectEnded(const AgentId& agent, LinkId link, ConnectResult result)
{
    this->run([&] {
        if (this->links.onConnectEnded(agent, link, std::move(result)))
            this->models.onAgentConnected(agent);
    });
}

void EntryShard::Impl::onClosed(const AgentId& agent, LinkId link)
{
    this->run([&] {
        if (this->links.onClosed(agent, link))
            this->onAgentLost(agent);
    });
}

void EntryShard::Impl::onAgentLost(const AgentId& agent)
{
    this->models.onAgentLost(agent);
    this->calls.onAgentLost(agent);
    this->membership.onLost(agent);
    this->refreshCandidates();
}

void EntryShard::Impl::onFrame(const AgentId& agent, LinkId link, std::string_view frame)
{
    // Decoding needs no lock, so the lock is taken after it.
    auto decoded = decodeAgentFrame(frame);
    this->run([&] {
        if (!this->links.isCurrent(agent, link))
            return;
        auto* message = std::get_if<AgentFrame>(&decoded);
        if (message == nullptr) {
            this->links.close(agent);
            return;
        }
        this->links.noteFrame(agent);
        this->clock.observe(message->clock);
        this->handle(agent, message->message);
    });
}

void EntryShard::Impl::refreshCandidates()
{
    CandidateSelector selector { this->settings.entry, this->settings.dataCentre, this->settings.subsetSize };
    const SiteConfiguration& site = this->configuration->configuration;
    this->links.setTargets(agentsToConnect(selector, site, this->membership));
    this->models.updateView(routingView(selector, site, this->configuration->version, this->membership));
    this->calls.updateCandidates(callCandidates(selector, this->membership));
}

void EntryShard::Impl::handle(const AgentId& agent, const AgentMessage& message)
{
    std::visit([this, &agent](const auto& typed) { this->handle(agent, typed); }, message);
}

void EntryShard::Impl::handle(const AgentId& agent, const SessionOpened& message)
{
    this->membership.onConnected(agent, message.incarnation);
    if (message.draining)
        this->membership.onDraining(agent);
    else
        this->membership.onResumed(agent);
    this->models.onMessage(agent, message);
    this->calls.onAgentConnected(agent, message.incarnation);
    this->calls.onMessage(agent, message);
    this->refreshCandidates();
    this->host.onVersionReported(this->settings.number, agent, message.version);
}

void EntryShard::Impl::handle(const AgentId& agent, const Draining& message)
{
    this->membership.onDraining(agent);
    this->models.onMessage(agent, message);
    this->calls.onMessage(agent, message);
    this->refreshCandidates();
}

void EntryShard::Impl::handle(const AgentId& agent, const ReadAnswered& message)
{
    this->calls.onMessage(agent, message);
}

void EntryShard::Impl::handle(const AgentId& agent, const ReadFailed& message)
{
    this->calls.onMessage(agent, message);
}

void EntryShard::Impl::handle(const AgentId& agent, const ActionReport& message)
{
    this->calls.onMessage(agent, message);
}

void EntryShard::Impl::handle(const AgentId& agent, const VersionNotice& message)
{
    this->host.onVersionReported(this->settings.number, agent, message.version);
}

void EntryShard::Impl::handle(const AgentId& agent, const FetchConfiguration& message)
{
    this->host.onConfigurationRequested(this->settings.number, agent, message.have);
}

void EntryShard::Impl::handle(const AgentId&, const ConfigurationSnapshot& message)
{
    this->host.onConfigurationReceived(message);
}

void EntryShard::Impl::handle(const AgentId&, const QuarantineNotice& message)
{
    this->quarantineAll(message.quarantined, false);
    this->host.onQuarantineReported(this->settings.number, message.quarantined);
}

void EntryShard::Impl::quarantineAll(const std::vector<Fingerprint>& fingerprints, bool notifiesAgents)
{
    for (Fingerprint fingerprint : fingerprints)
        this->quarantine.quarantine(fingerprint);
    if (notifiesAgents)
        this->sendToAll(QuarantineNotice { fingerprints });
}

void EntryShard::Impl::sendTo(const AgentId& agent, const EntryMessage& message)
{
    this->links.send(agent, encode(message, this->clock.tick()));
}

void EntryShard::Impl::sendToAll(const EntryMessage& message)
{
    this->links.sendToAll(encode(message, this->clock.tick()));
}

void EntryShard::Impl::cancel(RequestId request)
{
    if (this->modelListeners.erase(request) > 0)
        this->models.cancel(request);
    if (this->callListeners.erase(request) > 0)
        this->calls.cancel(request);
}

void EntryShard::Impl::perform()
{
    // Performing an action may produce others, for example a cancellation when a caller does not read.
    for (auto actions = this->models.takeActions(); !actions.empty(); actions = this->models.takeActions()) {
        for (RouterAction& action : actions) {
            if (auto* refusal = std::get_if<RefuseRequest>(&action))
                this->refuseModel(*refusal);
            else if (auto* send = std::get_if<SendToAgent>(&action))
                this->perform(std::move(*send));
            else if (auto* tokens = std::get_if<DeliverTokens>(&action))
                this->perform(std::move(*tokens));
            else if (auto* finish = std::get_if<FinishAnswer>(&action))
                this->perform(std::move(*finish));
            else
                this->perform(std::move(std::get<PublishQuarantine>(action)));
        }
    }
    for (auto actions = this->calls.takeActions(); !actions.empty(); actions = this->calls.takeActions()) {
        for (CallAction& action : actions) {
            if (auto* refusal = std::get_if<RefuseRequest>(&action))
                this->refuseCall(*refusal);
            else if (auto* send = std::get_if<SendToAgent>(&action))
                this->perform(std::move(*send));
            else if (auto* claims = std::get_if<AppendClaims>(&action))
                this->perform(std::move(*claims));
            else
                this->perform(std::move(std::get<FinishCall>(action)));
        }
    }
}

void EntryShard::Impl::perform(SendToAgent&& action) { this->sendTo(action.agent, action.message); }

void EntryShard::Impl::perform(DeliverTokens&& action)
{
    auto found = this->modelListeners.find(action.request);
    if (found == this->modelListeners.end())
        return;
    RequestId request = action.request;
    if (!found->second->onTokens(std::move(action), this->timers.now()))
        this->cancel(request);
}

void EntryShard::Impl::perform(FinishAnswer&& action)
{
    auto listener = this->modelListeners.extract(action.request);
    if (listener)
        listener.mapped()->onFinished(action);
}

void EntryShard::Impl::perform(PublishQuarantine&& action)
{
    this->host.publishQuarantine(this->settings.number, action.fingerprint);
}

void EntryShard::Impl::perform(AppendClaims&& action)
{
    this->host.appendClaims(this->settings.number, std::move(action));
}

void EntryShard::Impl::perform(FinishCall&& action)
{
    auto listener = this->callListeners.extract(action.request);
    if (listener)
        listener.mapped()->onAnswer(std::move(action.answer));
}

void EntryShard::Impl::refuseModel(const RefuseRequest& action)
{
    auto listener = this->modelListeners.extract(action.request);
    if (listener)
        listener.mapped()->onRefused(action.refusal);
}

void EntryShard::Impl::refuseCall(const RefuseRequest& action)
{
    auto listener = this->callListeners.extract(action.request);
    if (listener)
        listener.mapped()->onRefused(action.refusal);
}

} // namespace peridotgrade
