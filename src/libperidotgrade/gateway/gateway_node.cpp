// Request dispatch, readiness, reload and shutdown of the gateway process.
#include "peridotgrade/gateway/gateway_node.h"

#include "peridotgrade/core/serving/retry_after.h"
#include "peridotgrade/gateway/crash_log.h"
#include "peridotgrade/gateway/final_answer.h"
#include "peridotgrade/gateway/gateway_state.h"
#include "peridotgrade/gateway/gateway_stop.h"
#include "peridotgrade/gateway/generation_call.h"
#include "peridotgrade/gateway/group_member.h"
#include "peridotgrade/gateway/key_check.h"
#include "peridotgrade/gateway/own_answers.h"
#include "peridotgrade/gateway/peer_notices.h"
#include "peridotgrade/gateway/peer_socket.h"
#include "peridotgrade/gateway/plain_call.h"
#include "peridotgrade/gateway/quarantine_page.h"
#include "peridotgrade/gateway/quota_service.h"
#include "peridotgrade/gateway/store_follower.h"
#include "peridotgrade/gateway/stream_origin_log.h"
#include "peridotgrade/gateway/version_log.h"
#include "platform/caller_protocol.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <algorithm>
#include <csignal>
#include <map>
#include <optional>
#include <vector>

namespace peridotgrade {

namespace asio = boost::asio;

namespace {

    // Callers keep connections for less than the configured idle time, which is at most this.
    constexpr std::chrono::milliseconds CallerIdleTimeout { 60'000 };
    constexpr std::uint64_t MaxBodyBytes = 16 * 1024 * 1024;
    // Probes and operators send no bodies of any size.
    constexpr std::uint64_t MaxInternalBodyBytes = 64 * 1024;
    constexpr std::uint32_t MaxHeaderBytes = 64 * 1024;
    // Out of 4,100 file descriptors; the rest is for connections to servers and the store.
    constexpr std::uint32_t MaxCallerConnections = 2'500;

    HttpServerSettings serverSettings(const Endpoint& listen, const MemoryBudgets& budgets)
    {
        HttpServerSettings settings;
        settings.listen = listen;
        settings.maxHeaderBytes = MaxHeaderBytes;
        settings.maxBodyBytes = MaxBodyBytes;
        settings.maxConnections = MaxCallerConnections;
        settings.idleTimeout = CallerIdleTimeout;
        settings.sendBufferBytes = budgets.socketBufferBytes;
        settings.receiveBufferBytes = budgets.socketBufferBytes;
        return settings;
    }

} // namespace

class GatewayNode::Impl {
public:
    Impl(GatewaySettings settings, std::string settingsFile, std::uint64_t seed)
        : settingsFile(std::move(settingsFile))
        , state(this->context.get_executor(), std::move(settings), this->registry, seed)
        , store(this->context.get_executor(), this->state.settings.store)
        , follower(this->state, this->store)
        , peerSocket(this->context.get_executor())
        , quotas(this->state, this->peerSocket, this->registry)
        , notices(this->state, this->peerSocket, this->registry)
        , groupMember(this->state, this->store, this->quotas, this->notices)
        , originLog(this->state, this->store)
        , versionLog(this->state, this->store)
        , crashLog(this->state, this->store)
        , ownAnswers(this->state)
        , signals(this->context, SIGTERM, SIGINT, SIGHUP)
        , callers(this->context.get_executor(), this->callerSettings(),
              [this](HttpExchange& exchange) { return this->serveCaller(exchange); })
        , readiness(this->context.get_executor(),
              this->internalSettings(this->state.settings.readinessListen),
              [this](HttpExchange& exchange) { return this->answerReadiness(exchange); })
        , metricsServer(this->context.get_executor(),
              this->internalSettings(this->state.settings.metricsListen),
              [this](HttpExchange& exchange) { return this->serveOperator(exchange); })
        , stop(this->state, this->callers, [this](bool isWhole) {
            this->hasDrained = isWhole;
            this->context.stop();
        })
    {
        addProcessMetrics(this->registry);
        this->registry.callbackCounter(
            { "peridot_gateway_store_calls_total", "Calls to the platform's store", "", "" },
            [this] { return static_cast<double>(this->store.calls()); });
        this->addMemoryMetrics();
    }

    std::optional<std::string> start()
    {
        for (HttpServer* server : { &this->callers, &this->readiness, &this->metricsServer }) {
            auto bound = server->start();
            if (auto* error = std::get_if<NetError>(&bound))
                return error->detail;
        }
        const auto& peerListen = this->state.settings.peerListen;
        if (auto error = peerListen ? this->peerSocket.listen(*peerListen) : std::nullopt)
            return error->detail;
        this->state.log.write(LogLevel::Info, "started",
            { { "version", PERIDOT_VERSION }, { "listen", toString(this->state.settings.callersListen) },
                { "store", toString(this->state.settings.store) },
                { "data_centre", this->state.settings.dataCentre } });
        this->state.watchLoop();
        this->follower.start();
        this->notices.start();
        this->groupMember.start();
        this->crashLog.start();
        this->versionLog.start();
        this->awaitSignal();
        return std::nullopt;
    }

    bool run()
    {
        this->context.run();
        return this->hasDrained;
    }

private:
    HttpServerSettings callerSettings()
    {
        HttpServerSettings settings
            = serverSettings(this->state.settings.callersListen, this->state.memoryBudgets);
        settings.bodyMemory = this->state.requestMemory;
        settings.unreadResponse = [this](const HttpRequest& request, UnreadReason reason) {
            return this->ownAnswers.unread(request, reason);
        };
        settings.onRequestRefused
            = [this](const RefusedRequest& refused) { this->ownAnswers.noteRefused(refused); };
        settings.onRequestDropped
            = [this](const DroppedRequest& dropped) { this->ownAnswers.noteDropped(dropped); };
        return settings;
    }

    HttpServerSettings internalSettings(const Endpoint& listen) const
    {
        HttpServerSettings settings = serverSettings(listen, this->state.memoryBudgets);
        settings.maxBodyBytes = MaxInternalBodyBytes;
        return settings;
    }

    void addMemoryMetrics()
    {
        auto add = [this](const char* kind, const BodyMemory* memory) {
            this->registry.gauge(
                { "peridot_gateway_body_bytes", "Bytes of bodies that are held as a whole", "kind", kind },
                [memory] { return memory != nullptr ? static_cast<double>(memory->used()) : 0; });
        };
        add("request", this->state.requestMemory.get());
        add("answer", &this->state.answerMemory);
    }

    asio::awaitable<void> serveCaller(HttpExchange& exchange)
    {
        // Keys are checked before anything is spent on the request, also by an entry that is not ready yet.
        KeyCheck checked = checkKey(this->state, exchange.request());
        if (checked.rejection) {
            co_await this->ownAnswers.send(exchange, std::move(*checked.rejection));
            co_return;
        }
        const auto& configuration = checked.configuration;
        const ServiceRoute* route = checked.route;
        const Tenant* tenant = checked.caller.tenant();
        auto parsed = parseCallerRequest(exchange.request(),
            tenant != nullptr ? tenant->name.raw() : std::string_view {}, this->state.now());
        if (auto* problem = std::get_if<std::string>(&parsed)) {
            this->state.log.write(LogLevel::Warn, "request_malformed", { { "detail", *problem } });
            co_await this->ownAnswers.send(exchange, rejectionResponse(400, *problem));
            co_return;
        }
        auto& request = std::get<GatewayRequest>(parsed);
        request.clientAddress = exchange.clientAddress();
        checked.caller.applyTo(request.message);
        request.body = std::make_shared<const std::string>(exchange.takeBody());
        if (!configuration || !this->hasReadStore()) {
            // The store is unavailable, mostly for seconds. The Retry-After delay is the same as after any
            // other rejection, and spread.
            auto left = request.callerTimeout.value_or(OwnAnswers::DefaultCallerTimeout);
            co_await this->ownAnswers.reject(exchange, request, "not_ready", left);
            co_return;
        }
        if (route == nullptr) {
            this->state.log.write(LogLevel::Info, "request_ended",
                { { "request", request.attempt }, { "outcome", "no_route" }, { "host", request.host },
                    { "config", std::to_string(configuration->version.raw()) } });
            co_await this->ownAnswers.send(exchange, rejectionResponse(404, "no route"));
            co_return;
        }
        co_await this->serveRoute(exchange, std::move(request), configuration, *route, tenant);
    }

    asio::awaitable<void> serveRoute(HttpExchange& exchange, GatewayRequest request,
        std::shared_ptr<const RoutingConfiguration> configuration, const ServiceRoute& route,
        const Tenant* tenant)
    {
        this->state.metrics.countRequest(std::string { nameOf(route.kind) });
        CancellationSignal cancellation;
        exchange.onClientDisconnect([&cancellation] { cancellation.cancel(); });
        std::chrono::milliseconds time
            = std::min(request.callerTimeout.value_or(route.timeout), route.timeout);
        TimePoint deadline = request.arrivedAt + time;
        bool isSampled = this->state.random.below(RequestTrace::SampleEvery) == 0;
        RequestTrace trace(request.attempt, request.arrivedAt, isSampled);
        RequestContext context { exchange, std::move(request), configuration, route, tenant,
            priorityOf(tenant, route), this->pickService(route), std::nullopt, deadline, cancellation,
            std::move(trace) };
        bool mayGoOn = co_await this->chooseOrigin(context);
        const ServiceSpec* service = configuration->serviceNamed(context.service);
        if (configuration->hasPriorities(context.service))
            context.request.urgency = urgencyOf(context.priority);
        bool isGeneration = service != nullptr && service->engine;
        if (this->stop.isTooLateFor(isGeneration, deadline)) {
            // The request might not end before this process has to, and a caller that still connects here
            // finds no other entry, so it is told to wait for one to start.
            co_await this->ownAnswers.reject(
                exchange, context.request, "stopping", timeLeft(this->state, context));
        } else if (!mayGoOn) {
            auto retryAfter = chooseRetryAfter(timeLeft(this->state, context), this->state.random);
            co_await answerNotRun(this->state, context, "unknown_stream", retryAfter);
        } else {
            co_await this->serveWithinQuota(context, isGeneration ? &*service->engine : nullptr);
        }
        exchange.onClientDisconnect(nullptr);
    }

    /// `engine` is null for a plain service.
    asio::awaitable<void> serveWithinQuota(RequestContext& context, const EngineSpec* engine)
    {
        auto overQuota = co_await this->quotas.charge(context);
        if (overQuota) {
            co_await answerOverQuota(this->state, context, *overQuota);
        } else if (engine != nullptr) {
            GatewayStop::OpenGeneration counted(this->stop);
            auto broker = this->brokerOf(context.service);
            if (engine->maxReservation.count() > 0)
                broker->setLifetime(engine->maxReservation);
            GenerationCall call(this->state, context, *engine, broker, this->originLog);
            co_await call.serve();
        } else {
            PlainCall call(this->state, context);
            co_await call.serve();
        }
    }

    /// Finds where the stream that the request resumes may go on. Returns false if it is not known.
    asio::awaitable<bool> chooseOrigin(RequestContext& context)
    {
        const GatewayRequest& request = context.request;
        if (context.route.kind != CallKind::Streaming || !request.isResumption())
            co_return true;
        auto found = co_await this->originLog.originOf(request, context.route);
        const auto& origin = found.origin;
        TimePoint now = this->state.now();
        const VersionHistory& versions = this->state.versions[origin ? origin->service : context.service];
        context.trace.addFailure(now, "resumption",
            { { "resumes", request.resumedAttempt.value_or("") },
                { "after_event", request.lastEvent ? std::to_string(*request.lastEvent) : "" },
                { "service", origin ? origin->service.raw() : "" },
                { "version", origin ? origin->version.raw() : "unknown" },
                { "known_from", std::string { found.evidence } },
                { "known_for_ms", found.age ? millisecondsText(*found.age) : "" },
                { "list_age_ms", millisecondsText(now - this->state.serversReadAt) },
                { "versions", versions.text(now) },
                { "observed_ms", millisecondsText(versions.observedFor(now)) } });
        const auto& services = context.route.services;
        bool isOffered = origin
            && std::any_of(services.begin(), services.end(),
                [&](const WeightedService& each) { return each.service == origin->service; });
        if (!isOffered)
            co_return false;
        context.service = origin->service;
        context.version = origin->version;
        co_return true;
    }

    ServiceId pickService(const ServiceRoute& route)
    {
        double total = 0;
        for (const WeightedService& each : route.services)
            total += each.weight;
        double at = this->state.random.unit() * total;
        for (const WeightedService& each : route.services) {
            at -= each.weight;
            if (at < 0)
                return each.service;
        }
        return route.services.back().service;
    }

    std::shared_ptr<ReservationBroker> brokerOf(const ServiceId& service)
    {
        auto& broker = this->brokers[service];
        if (!broker)
            broker = std::make_shared<ReservationBroker>(this->state, service);
        return broker;
    }

    /// True once what the entry needs beside the configuration has been read.
    bool hasReadStore() const
    {
        return this->state.hasServers && this->crashLog.isStarted() && this->versionLog.isStarted();
    }

    bool isReady() const
    {
        return !this->state.isStopping && this->state.configuration && this->hasReadStore();
    }

    asio::awaitable<void> answerReadiness(HttpExchange& exchange)
    {
        HttpResponse response;
        response.status = this->isReady() ? 200 : 503;
        response.body = this->isReady() ? R"({"ready":true})" : R"({"ready":false})";
        co_await exchange.respond(std::move(response));
    }

    /// Metrics, and the requests that are quarantined.
    asio::awaitable<void> serveOperator(HttpExchange& exchange)
    {
        if (exchange.request().path().starts_with(QuarantinePath)) {
            co_await exchange.respond(
                answerQuarantinePage(exchange.request(), this->state.crashes, this->state.now()));
            co_return;
        }
        HttpResponse response;
        response.contentType = "text/plain; version=0.0.4";
        response.body = this->registry.text();
        co_await exchange.respond(std::move(response));
    }

    void awaitSignal()
    {
        this->signals.async_wait([this](const boost::system::error_code& error, int number) {
            if (error)
                return;
            if (number == SIGHUP)
                this->reload();
            else
                this->stop.begin();
            this->awaitSignal();
        });
    }

    void reload()
    {
        auto read = readGatewaySettings(this->settingsFile);
        if (auto* error = std::get_if<SettingsError>(&read)) {
            this->state.log.write(LogLevel::Error, "reload_failed", { { "detail", error->message() } });
            return;
        }
        // Only these two settings are reloaded; addresses stay as they are for the life of the process.
        const auto& settings = std::get<GatewaySettings>(read);
        this->state.settings.stopWithin = settings.stopWithin;
        this->state.log.setLevel(settings.logLevel);
        this->state.log.write(LogLevel::Info, "reloaded", { { "file", this->settingsFile } });
    }

    asio::io_context context { 1 };
    const std::string settingsFile;
    MetricsRegistry registry;
    GatewayState state;
    StoreClient store;
    StoreFollower follower;
    PeerSocket peerSocket;
    QuotaService quotas;
    PeerNotices notices;
    GroupMember groupMember;
    StreamOriginLog originLog;
    VersionLog versionLog;
    CrashLog crashLog;
    OwnAnswers ownAnswers;
    std::map<ServiceId, std::shared_ptr<ReservationBroker>> brokers;
    asio::signal_set signals;
    HttpServer callers;
    HttpServer readiness;
    HttpServer metricsServer;
    GatewayStop stop;
    bool hasDrained = true;
};

GatewayNode::GatewayNode(GatewaySettings settings, std::string settingsFile, std::uint64_t seed)
    : impl(std::make_unique<Impl>(std::move(settings), std::move(settingsFile), seed))
{
}

GatewayNode::~GatewayNode() = default;

std::optional<std::string> GatewayNode::start() { return this->impl->start(); }

bool GatewayNode::run() { return this->impl->run(); }

} // namespace peridotgrade
