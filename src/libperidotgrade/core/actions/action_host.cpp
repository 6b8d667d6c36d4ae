// Handles the messages of entries and the calls of one application server.
#include "peridotgrade/core/actions/action_host.h"

#include "key_table.h"
#include "peridotgrade/core/base/invariant.h"

#include <map>
#include <set>

namespace peridotgrade {

namespace {

    /// Connection and attempt to which the end of a call is reported.
    struct Waiter {
        ConnectionId connection;
        AttemptId attempt;
    };

    struct OpenCall {
        /// Empty for reads.
        IdempotencyKey key;
        std::vector<Waiter> waiters;

        bool isAction() const { return !this->key.raw().empty(); }
    };

} // namespace

class ActionHost::Impl {
public:
    Impl(ActionHostSettings settings, TimerService& timers, EventSink& events)
        : settings(std::move(settings))
        , timers(timers)
        , events(events)
        , createdAt(timers.now())
        , table(this->settings.answerCacheBytes, this->settings.maxKeys)
    {
    }

    void handle(ConnectionId connection, const OpenSession&)
    {
        SessionOpened opened;
        opened.agent = this->settings.agent;
        opened.incarnation = this->settings.incarnation;
        opened.epoch = SessionEpoch { connection.raw() };
        opened.draining = this->isDraining;
        this->send(connection, std::move(opened));
    }

    void handle(ConnectionId connection, const StartRead& read)
    {
        if (this->isDraining || read.timeLeft.count() <= 0) {
            this->send(connection, ReadFailed { read.attempt, this->isDraining });
            return;
        }
        OpenCall open;
        open.waiters.push_back({ connection, read.attempt });
        this->call(std::move(open), read.call, read.timeLeft);
    }

    void handle(ConnectionId connection, const StartAction& start)
    {
        Waiter waiter { connection, start.attempt };
        if (start.incarnation != this->settings.incarnation) {
            this->report(waiter, start.key, ActionState::WrongIncarnation);
            return;
        }
        this->forgetOldKeys();
        if (auto state = this->table.find(start.key)) {
            this->reportState(waiter, start.key, *state);
            return;
        }
        if (this->table.isForgotten(start.key)) {
            this->report(waiter, start.key, ActionState::RefusedUnstarted);
            return;
        }
        if (this->isDraining || start.timeLeft.count() <= 0) {
            this->addTombstone(start.key);
            this->report(waiter, start.key, ActionState::RefusedUnstarted);
            return;
        }
        this->start(waiter, start);
    }

    void handle(ConnectionId connection, const QueryAction& query)
    {
        Waiter waiter { connection, query.attempt };
        if (query.incarnation != this->settings.incarnation) {
            this->report(waiter, query.key, ActionState::WrongIncarnation);
            return;
        }
        this->forgetOldKeys();
        if (auto state = this->table.find(query.key)) {
            this->reportState(waiter, query.key, *state);
            return;
        }
        if (this->table.isForgotten(query.key)) {
            this->report(waiter, query.key, ActionState::Forgotten);
            return;
        }
        if (!query.seal) {
            this->report(waiter, query.key, ActionState::Absent);
            return;
        }
        this->addTombstone(query.key);
        this->report(waiter, query.key, ActionState::Sealed);
    }

    /// Ignores messages that do not concern application servers.
    template <typename Message> void handle(ConnectionId, const Message&) { }

    void onCallEnded(ApplicationCallId number, ApplicationCallResult result, ApplicationAnswer answer)
    {
        auto found = this->calls.find(number);
        if (found == this->calls.end())
            return;
        OpenCall open = std::move(found->second);
        this->calls.erase(found);
        if (open.isAction())
            this->endAction(open, result, std::move(answer));
        else
            this->endRead(open, result, std::move(answer));
    }

    void onDisconnected(ConnectionId connection)
    {
        this->connections.erase(connection);
        for (auto& [number, open] : this->calls)
            std::erase_if(
                open.waiters, [&](const Waiter& waiter) { return waiter.connection == connection; });
    }

    void drain()
    {
        if (this->isDraining)
            return;
        this->isDraining = true;
        this->record(EventKind::DrainStarted, {}, {});
        for (ConnectionId connection : this->connections)
            this->send(connection, Draining {});
    }

    bool isDrained() const { return this->isDraining && this->calls.empty(); }

    std::set<ConnectionId> connections;
    std::vector<ActionHostAction> actions;

private:
    void call(OpenCall open, const ApplicationCall& call, std::chrono::milliseconds timeout)
    {
        checkInvariant(!this->isDraining, Invariant::NoNewWorkWhenLeaving, "call after drain");
        CallApplication action;
        action.number = ApplicationCallId { ++this->lastCall };
        action.call = call;
        action.isRepeatable = !open.isAction();
        action.timeout = timeout;
        if (open.isAction())
            action.key = unscopedKey(open.key);
        this->calls.emplace(action.number, std::move(open));
        this->actions.push_back(std::move(action));
    }

    void start(const Waiter& waiter, const StartAction& start)
    {
        this->table.start(start.key);
        this->record(EventKind::ActionStarted, start.attempt, start.key.raw());
        OpenCall open;
        open.key = start.key;
        open.waiters.push_back(waiter);
        this->call(std::move(open), start.call, start.timeLeft);
    }

    void addTombstone(const IdempotencyKey& key)
    {
        this->table.addTombstone(key);
        this->record(EventKind::ActionSealed, {}, key.raw());
    }

    void endRead(const OpenCall& open, ApplicationCallResult result, ApplicationAnswer answer)
    {
        for (const Waiter& waiter : open.waiters) {
            if (result == ApplicationCallResult::Answered)
                this->send(waiter.connection, ReadAnswered { waiter.attempt, answer });
            else
                this->send(waiter.connection, ReadFailed { waiter.attempt, this->isDraining });
        }
    }

    void endAction(const OpenCall& open, ApplicationCallResult result, ApplicationAnswer answer)
    {
        ActionState state = this->recordEnd(open.key, result, answer);
        for (const Waiter& waiter : open.waiters)
            this->report(waiter, open.key, state, answer);
    }

    ActionState recordEnd(
        const IdempotencyKey& key, ApplicationCallResult result, const ApplicationAnswer& answer)
    {
        switch (result) {
        case ApplicationCallResult::Answered:
            this->table.recordAnswer(key, answer);
            this->record(EventKind::ActionAnswered, {}, key.raw());
            return ActionState::Answered;
        case ApplicationCallResult::NotSent:
            this->table.recordNotSent(key);
            return ActionState::RefusedUnstarted;
        case ApplicationCallResult::Lost:
            break;
        }
        this->table.recordLost(key);
        this->record(EventKind::ActionUnknown, {}, key.raw());
        return ActionState::Lost;
    }

    void reportState(const Waiter& waiter, const IdempotencyKey& key, KeyState state)
    {
        switch (state) {
        case KeyState::Tombstone:
            this->report(waiter, key, ActionState::Sealed);
            return;
        case KeyState::Running:
            this->addWaiter(waiter, key);
            this->report(waiter, key, ActionState::Running);
            return;
        case KeyState::Lost:
            this->report(waiter, key, ActionState::Lost);
            return;
        case KeyState::Answered:
            break;
        }
        const ApplicationAnswer* answer = this->table.answerOf(key);
        if (answer)
            this->report(waiter, key, ActionState::Answered, *answer);
        else
            this->report(waiter, key, ActionState::Forgotten);
    }

    void addWaiter(const Waiter& waiter, const IdempotencyKey& key)
    {
        for (auto& [number, open] : this->calls) {
            if (open.key == key)
                open.waiters.push_back(waiter);
        }
    }

    void report(const Waiter& waiter, const IdempotencyKey& key, ActionState state,
        const ApplicationAnswer& answer = {})
    {
        ActionReport report;
        report.attempt = waiter.attempt;
        report.key = key;
        report.incarnation = this->settings.incarnation;
        report.state = state;
        if (state == ActionState::Answered)
            report.answer = answer;
        this->send(waiter.connection, std::move(report));
    }

    void send(ConnectionId connection, AgentMessage message)
    {
        this->actions.push_back(SendToEntry { connection, std::move(message) });
    }

    void forgetOldKeys()
    {
        auto sinceCreated
            = std::chrono::duration_cast<std::chrono::milliseconds>(this->timers.now() - this->createdAt);
        this->table.forgetUpTo(this->settings.startedAt + sinceCreated - this->settings.keyRetention);
    }

    void record(EventKind kind, AttemptId attempt, std::string detail)
    {
        this->events.record(
            { kind, this->timers.now(), attempt, this->settings.agent.raw(), std::move(detail) });
    }

    const ActionHostSettings settings;
    TimerService& timers;
    EventSink& events;
    const TimePoint createdAt;
    KeyTable table;
    /// Invariant: holds the call of every key that is `Running` in the table. A call whose key the table has
    /// forgotten stays until it ends.
    std::map<ApplicationCallId, OpenCall> calls;
    std::uint64_t lastCall = 0;
    bool isDraining = false;
};

ActionHost::ActionHost(ActionHostSettings settings, TimerService& timers, EventSink& events)
    : impl(std::make_unique<Impl>(std::move(settings), timers, events))
{
}

ActionHost::~ActionHost() = default;

void ActionHost::onConnected(ConnectionId connection) { this->impl->connections.insert(connection); }

void ActionHost::onDisconnected(ConnectionId connection) { this->impl->onDisconnected(connection); }

void ActionHost::onMessage(ConnectionId connection, const EntryMessage& message)
{
    std::visit([&](const auto& typed) { this->impl->handle(connection, typed); }, message);
}

void ActionHost::onCallEnded(ApplicationCallId number, ApplicationCallResult result, ApplicationAnswer answer)
{
    this->impl->onCallEnded(number, result, std::move(answer));
}

void ActionHost::drain() { this->impl->drain(); }

bool ActionHost::isDrained() const { return this->impl->isDrained(); }

std::vector<ActionHostAction> ActionHost::takeActions()
{
    std::vector<ActionHostAction> taken;
    taken.swap(this->impl->actions);
    return taken;
}

} // namespace peridotgrade
