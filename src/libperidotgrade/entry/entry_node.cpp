// Construction, start and graceful shutdown of an entry process.
#include "peridotgrade/entry/entry_node.h"

#include "entry_node_impl.h"

#include "peridotgrade/core/base/invariant.h"
#include "peridotgrade/net/timer_driver.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <csignal>
#include <thread>

namespace peridotgrade {

namespace asio = boost::asio;

namespace {

    constexpr std::size_t TimelineCapacityEvents = 32'768;
    // Lets the platform's load balancer see that the entry is not ready before it stops listening.
    constexpr std::chrono::milliseconds ReadinessPropagationDelay { 1000 };
    constexpr std::uint32_t CallerSendBufferBytes = 64 * 1024;
    constexpr std::chrono::milliseconds DrainCheckInterval { 20 };

    ConfigurationFollowerSettings followerSettings(const EntrySettings& settings, std::uint64_t seed)
    {
        ConfigurationFollowerSettings result;
        result.platform = settings.node.platform;
        result.seed = seed;
        result.logRetention = settings.logRetention;
        result.appendsSnapshots = true;
        result.wallNow = TimerDriver::wallNow;
        return result;
    }

    OperatorApiSettings operatorSettings(const EntrySettings& settings)
    {
        OperatorApiSettings result;
        result.platform = settings.node.platform;
        result.operators = settings.operators;
        return result;
    }

} // namespace

EntryNode::Impl::Impl(EntrySettings given, std::uint64_t seed)
    : settings(std::move(given))
    , seed(seed)
    , strand(asio::make_strand(this->io))
    , clock(TimerDriver::wallNow)
    , logger(this->settings.node.name, logLevelFrom(this->settings.node.logLevel).value_or(LogLevel::Info))
    , timeline(this->settings.node.name, TimelineCapacityEvents, this->clock)
    , follower(this->strand, followerSettings(this->settings, seed))
    , context { this->settings, this->logger, this->metrics, this->timeline, this->follower }
    , entryMetrics(this->metrics)
    , claims(this->strand, this->context, seed + 1)
    , quarantines(this->strand, this->context, seed + 2)
    , vmList(this->strand, this->context, this->admission)
    , peers(this->strand, this->context, this->clock, this->quarantines)
    , callerApi(this->context, this->entryMetrics, this->admission)
    , operators(
          operatorSettings(this->settings), this->follower, [this] { return this->planningView(); },
          this->timeline)
    , adminApi(this->context, this->operators)
    , signals(this->io, SIGTERM, SIGINT)
    , drainTimer(this->strand)
{
    this->makeShards(seed);
    this->makeHttpServers();
    this->addMetrics();
}

EntryNode::Impl::~Impl() = default;

void EntryNode::Impl::makeShards(std::uint64_t rootSeed)
{
    RandomSource random(rootSeed);
    Incarnation incarnation { random.next() };
    for (std::uint32_t number = 0; number < this->settings.node.shards; ++number) {
        EntryShardSettings shard;
        shard.number = number;
        shard.entry = EntryId { this->settings.node.name + "/" + std::to_string(number) };
        shard.incarnation = incarnation;
        shard.dataCentre = this->settings.node.dataCentre;
        shard.seed = random.next();
        shard.logRetention = this->settings.logRetention;
        this->context.shards.push_back(std::make_unique<EntryShard>(
            this->io.get_executor(), std::move(shard), *this, this->timeline, this->clock));
    }
}

void EntryNode::Impl::makeHttpServers()
{
    HttpServerSettings callers;
    callers.listen = this->settings.listen;
    callers.maxHeaderBytes = this->settings.limits.maxHeaderBytes;
    callers.maxBodyBytes = this->settings.limits.maxBodyBytes;
    callers.maxConnections = this->settings.limits.maxConnections;
    callers.readTimeout = this->settings.limits.readTimeout;
    callers.writeTimeout = this->settings.limits.writeTimeout;
    callers.sendBufferBytes = CallerSendBufferBytes;
    callers.refusalFields = { { std::string { OutcomeFieldName }, std::string { nameOf(Outcome::NotRun) } } };
    this->callerServer = std::make_unique<HttpServer>(this->io.get_executor(), callers,
        [this](HttpExchange& exchange) { return this->callerApi.handle(exchange); });
    HttpServerSettings admin;
    admin.listen = this->settings.node.adminListen;
    this->adminServer = std::make_unique<HttpServer>(this->io.get_executor(), admin,
        [this](HttpExchange& exchange) { return this->adminApi.handle(exchange); });
}

PlanningView EntryNode::Impl::planningView() const
{
    PlanningView view;
    for (const VmRecord& vm : this->vmList.current()) {
        if (vm.kind == VmKind::Engine && vm.state == VmState::Live)
            view.fleet.push_back(FleetEngine { .agent = AgentId { vm.name }, .service = vm.service });
    }
    return view;
}

std::variant<EntryAddresses, NetError> EntryNode::Impl::start()
{
    EntryAddresses addresses;
    auto peerEndpoint = this->peers.start();
    if (auto* error = std::get_if<NetError>(&peerEndpoint))
        return std::move(*error);
    auto adminEndpoint = this->adminServer->start();
    if (auto* error = std::get_if<NetError>(&adminEndpoint))
        return std::move(*error);
    auto callerEndpoint = this->callerServer->start();
    if (auto* error = std::get_if<NetError>(&callerEndpoint))
        return std::move(*error);
    addresses.peers = std::get<Endpoint>(peerEndpoint);
    addresses.admin = std::get<Endpoint>(adminEndpoint);
    addresses.callers = std::get<Endpoint>(callerEndpoint);

    this->waitForSignal();
    this->followConfiguration();
    this->claims.start();
    this->quarantines.start();
    this->vmList.start();
    this->logger.write(LogLevel::Info, "started",
        { { "callers", toString(addresses.callers) }, { "admin", toString(addresses.admin) },
            { "peers", toString(addresses.peers) }, { "seed", std::to_string(this->seed) },
            { "version", PERIDOT_VERSION } });
    TimelineEvent event;
    event.kind = EventKind::ProcessStarted;
    this->timeline.record(std::move(event));
    return addresses;
}

void EntryNode::Impl::followConfiguration()
{
    this->follower.subscribe([this](std::shared_ptr<const ConfigurationInForce> configuration) {
        this->versionInForce = configuration->version.raw();
        this->logger.write(LogLevel::Info, "configuration_applied",
            { { "version", std::to_string(configuration->version.raw()) },
                { "digest", std::to_string(configuration->digest) } });
        TimelineEvent event;
        event.kind = EventKind::ConfigurationApplied;
        event.detail = std::to_string(configuration->version.raw());
        this->timeline.record(std::move(event));
        for (auto& shard : this->context.shards)
            shard->onConfiguration(configuration);
    });
    this->follower.start();
}

bool EntryNode::Impl::run()
{
    std::vector<std::thread> threads;
    for (std::uint32_t number = 1; number < this->settings.node.threads; ++number)
        threads.emplace_back([this] { this->io.run(); });
    this->io.run();
    for (std::thread& thread : threads)
        thread.join();
    return this->isGracefulExit;
}

void EntryNode::Impl::waitForSignal()
{
    this->signals.async_wait([this](const boost::system::error_code& error, int number) {
        if (error)
            return;
        this->logger.write(LogLevel::Info, "stopping", { { "signal", std::to_string(number) } });
        this->context.isStopping = true;
        TimelineEvent event;
        event.kind = EventKind::ProcessStopping;
        this->timeline.record(std::move(event));
        asio::co_spawn(
            this->strand, [this] { return this->drain(); }, asio::detached);
    });
}

bool EntryNode::Impl::isDrained() const
{
    if (this->callerServer->openExchanges() > 0)
        return false;
    for (const auto& shard : this->context.shards) {
        if (shard->status().openRequests > 0)
            return false;
    }
    return true;
}

asio::awaitable<void> EntryNode::Impl::drain()
{
    boost::system::error_code ignored;
    this->drainTimer.expires_after(ReadinessPropagationDelay);
    co_await this->drainTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    this->callerServer->stopAccepting();
    TimePoint limit = TimerDriver::now() + this->settings.limits.drainTimeout;
    while (!this->isDrained() && TimerDriver::now() < limit) {
        this->drainTimer.expires_after(DrainCheckInterval);
        co_await this->drainTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    this->isGracefulExit = this->isDrained();
    checkInvariant(this->isGracefulExit || TimerDriver::now() >= limit, Invariant::GracefulStopCutsNothing,
        "stopped with requests in progress");
    this->logger.write(this->isGracefulExit ? LogLevel::Info : LogLevel::Error, "stopped",
        { { "whole", this->isGracefulExit ? "true" : "false" } });
    this->stopAll();
}

void EntryNode::Impl::stopAll()
{
    this->follower.stop();
    this->claims.stop();
    this->quarantines.stop();
    this->vmList.stop();
    this->peers.stop();
    for (auto& shard : this->context.shards)
        shard->stop();
    this->io.stop();
}

EntryNode::EntryNode(EntrySettings settings, std::uint64_t seed)
    : impl(std::make_unique<Impl>(std::move(settings), seed))
{
}

EntryNode::~EntryNode() = default;

std::variant<EntryAddresses, NetError> EntryNode::start() { return this->impl->start(); }

bool EntryNode::run() { return this->impl->run(); }

} // namespace peridotgrade
