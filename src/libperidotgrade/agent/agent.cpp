// Construction, start, draining and metrics of an agent.
#include "agent_impl.h"

#include "peridotgrade/agent/application_backend.h"
#include "peridotgrade/net/timer_driver.h"
#include "peridotgrade/operators/node_status.h"

namespace peridotgrade {

namespace {

    constexpr std::size_t TimelineCapacityEvents = 16 * 1024;

    HttpServerSettings adminSettings(const AgentSettings& settings)
    {
        HttpServerSettings result;
        result.listen = settings.node.adminListen;
        return result;
    }

} // namespace

Agent::Impl::Impl(boost::asio::any_io_executor executor, AgentSettings agentSettings, std::uint64_t seed)
    : executor(executor)
    , settings(std::move(agentSettings))
    , seed(seed)
    , logger(this->settings.node.name, logLevelFrom(this->settings.node.logLevel).value_or(LogLevel::Info))
    , clock(&TimerDriver::wallNow)
    , timeline(this->settings.node.name, TimelineCapacityEvents, this->clock)
    , configurationStrand(boost::asio::make_strand(executor))
    , follower(this->configurationStrand, this->followerSettings())
    , connections(
          executor, this->settings.node.peerListen, FrameSettings {}, this->clock, this->connectionHandlers())
    , notices(this->follower, this->connections)
    , backend(this->makeBackend())
    , vmLeavingWatcher(executor, this->settings.node.platform, this->settings.node.name,
          [this] { this->drain("vm_list"); })
    , adminPages(
          this->metrics, this->timeline, this->logger, [this] { return this->isReady(); },
          [this] { return this->status(); })
    , admin(executor, adminSettings(this->settings),
          [this](HttpExchange& exchange) { return this->adminPages.serve(exchange); })
{
    if (this->engine != nullptr)
        this->configurator = std::make_unique<EngineConfigurator>(
            executor, *this->engine, AgentId { this->settings.node.name }, seed, this->timeline);
    this->addMetrics();
}

AgentConnectionHandlers Agent::Impl::connectionHandlers()
{
    AgentConnectionHandlers handlers;
    handlers.onConnected = [this](ConnectionId connection) {
        this->backend->onConnected(connection);
        this->notices.onConnected(connection);
    };
    handlers.onMessage = [this](ConnectionId connection, const EntryMessage& message) {
        if (!this->notices.onMessage(connection, message))
            this->backend->onMessage(connection, message);
    };
    handlers.onDisconnected = [this](ConnectionId connection) { this->backend->onDisconnected(connection); };
    return handlers;
}

ConfigurationFollowerSettings Agent::Impl::followerSettings() const
{
    ConfigurationFollowerSettings result;
    result.platform = this->settings.node.platform;
    result.seed = this->seed;
    result.wallNow = &TimerDriver::wallNow;
    return result;
}

std::unique_ptr<Backend> Agent::Impl::makeBackend()
{
    if (this->settings.backend.kind == VmKind::Engine)
        return this->makeEngineBackend();
    return this->makeApplicationBackend();
}

std::unique_ptr<Backend> Agent::Impl::makeEngineBackend()
{
    EngineBackendSettings engine;
    engine.host.agent = AgentId { this->settings.node.name };
    engine.host.incarnation = Incarnation { this->seed };
    engine.host.leaseDuration = this->settings.leaseDuration;
    engine.host.prefillsAtOnce = this->settings.prefillsAtOnce;
    engine.engine.engine = this->settings.backend.address;
    engine.engine.exportAddress = this->settings.backend.address;
    engine.engine.weightStore = this->settings.weightStore;
    engine.engine.stateInterval = this->settings.stateInterval;
    engine.seed = this->seed;
    auto send = [this](ConnectionId connection, const AgentMessage& message) {
        this->connections.send(connection, message);
    };
    auto result
        = std::make_unique<EngineBackend>(this->executor, std::move(engine), this->timeline, std::move(send));
    this->addEngineMetrics(*result);
    this->engine = result.get();
    return result;
}

std::unique_ptr<Backend> Agent::Impl::makeApplicationBackend()
{
    ActionHostSettings host;
    host.agent = AgentId { this->settings.node.name };
    host.incarnation = Incarnation { this->seed };
    host.startedAt = TimerDriver::wallNow();
    auto send = [this](ConnectionId connection, const AgentMessage& message) {
        this->connections.send(connection, message);
    };
    return std::make_unique<ApplicationBackend>(
        this->executor, std::move(host), this->settings.backend.address, this->timeline, std::move(send));
}

std::variant<AgentEndpoints, NetError> Agent::Impl::start()
{
    this->follower.subscribe([this](std::shared_ptr<const ConfigurationInForce> configuration) {
        this->onConfiguration(*configuration);
    });
    if (this->configurator)
        this->configurator->start();
    this->backend->start();
    auto peers = this->connections.start();
    if (auto* error = std::get_if<NetError>(&peers))
        return std::move(*error);
    auto adminEndpoint = this->admin.start();
    if (auto* error = std::get_if<NetError>(&adminEndpoint))
        return std::move(*error);
    this->follower.start();
    this->vmLeavingWatcher.start();
    AgentEndpoints endpoints { std::get<Endpoint>(peers), std::get<Endpoint>(adminEndpoint) };
    this->logger.write(LogLevel::Info, "agent_started",
        { { "peers", toString(endpoints.peers) }, { "admin", toString(endpoints.admin) },
            { "seed", std::to_string(this->seed) } });
    return endpoints;
}

void Agent::Impl::onConfiguration(const ConfigurationInForce& configuration)
{
    if (!configuration.isReady)
        return;
    this->backend->setVersion(configuration.version);
    this->notices.onVersion(configuration.version);
    if (this->configurator)
        this->configurator->onConfiguration(configuration);
    this->logger.write(LogLevel::Info, "configuration_applied",
        { { "version", std::to_string(configuration.version.raw()) }, { "plan", configuration.plan.raw() } });
    TimelineEvent event;
    event.kind = EventKind::ConfigurationApplied;
    event.at = TimerDriver::now();
    event.subject = configuration.plan.raw();
    event.detail = "version " + std::to_string(configuration.version.raw());
    this->timeline.record(std::move(event));
}

void Agent::Impl::drain(const std::string& reason)
{
    if (this->isDraining.exchange(true))
        return;
    this->logger.write(LogLevel::Info, "drain_started", { { "reason", reason } });
    this->backend->drain();
}

void Agent::Impl::stop()
{
    this->vmLeavingWatcher.stop();
    this->follower.stop();
    this->connections.stopAccepting();
    this->admin.stopAccepting();
    if (this->configurator)
        this->configurator->stop();
    this->backend->stop();
    this->logger.write(LogLevel::Info, "agent_stopped", {});
}

bool Agent::Impl::isReady() const { return !this->isDraining && this->follower.current()->isReady; }

std::string Agent::Impl::status() const
{
    std::optional<ReconcilerStatus> engine;
    if (this->configurator)
        engine = this->configurator->status();
    return nodeStatusJson(this->settings.node.name, "agent", this->follower, engine);
}

void Agent::Impl::addMetrics()
{
    addProcessMetrics(this->metrics);
    auto version = [this] { return static_cast<double>(this->follower.current()->version.raw()); };
    this->metrics.gauge({ "peridot_configuration_version", "Configuration in force here." }, version);
    auto sent = [this] { return static_cast<double>(this->connections.traffic().bytesSent); };
    auto received = [this] { return static_cast<double>(this->connections.traffic().bytesReceived); };
    MetricName bytes { "peridot_peer_bytes_total", "Bytes exchanged with entries.", "direction", "sent" };
    this->metrics.callbackCounter(bytes, sent);
    bytes.labelValue = "received";
    this->metrics.callbackCounter(bytes, received);
    auto connected = [this] { return static_cast<double>(this->connections.size()); };
    this->metrics.gauge({ "peridot_entry_connections", "Connections of entry shards." }, connected);
    auto lost = [this] { return static_cast<double>(this->timeline.lostEvents()); };
    this->metrics.callbackCounter(
        { "peridot_timeline_events_lost_total", "Events that had to make room for later ones." }, lost);
}

void Agent::Impl::addEngineMetrics(EngineBackend& engine)
{
    auto field = [&engine](auto member) {
        return [&engine, member] { return static_cast<double>(engine.counters().*member); };
    };
    this->metrics.gauge(
        { "peridot_places_held", "Places held by leases." }, field(&ModelHostCounters::reservationsHeld));
    this->metrics.gauge(
        { "peridot_sessions", "Live sessions of entry shards." }, field(&ModelHostCounters::sessions));
    this->metrics.callbackCounter(
        { "peridot_places_granted_total", "Places granted." }, field(&ModelHostCounters::granted));
    this->metrics.callbackCounter(
        { "peridot_places_refused_total", "Places refused." }, field(&ModelHostCounters::refused));
    this->metrics.callbackCounter({ "peridot_leases_lapsed_total", "Sessions whose lease lapsed." },
        field(&ModelHostCounters::leasesExpired));
    this->metrics.callbackCounter({ "peridot_orphans_freed_total", "Streams freed that nobody owned." },
        field(&ModelHostCounters::orphansFreed));
    this->metrics.callbackCounter({ "peridot_engine_crashes_total", "Losses of the engine." },
        field(&ModelHostCounters::engineCrashes));
}

Agent::Agent(boost::asio::any_io_executor executor, AgentSettings settings, std::uint64_t seed)
    : impl(std::make_shared<Impl>(std::move(executor), std::move(settings), seed))
{
}

Agent::~Agent() = default;

std::variant<AgentEndpoints, NetError> Agent::start() { return this->impl->start(); }

void Agent::drain() { this->impl->drain("signal"); }

bool Agent::isDrained() const { return this->impl->isDrained(); }

void Agent::stop() { this->impl->stop(); }

} // namespace peridotgrade
