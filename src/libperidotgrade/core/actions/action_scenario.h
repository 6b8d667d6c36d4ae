// Fixture of two entries, two agents and a log, connected without delay.
#pragma once

#include "peridotgrade/core/actions/action_host.h"
#include "peridotgrade/core/actions/action_router.h"
#include "test_keys.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <map>

namespace peridotgrade::testing {

/// A test sets the switches below before a step to cause a failure. By its seed, entry 0 names agent 0 in its
/// first claim.
class ActionScenario {
public:
    ActionScenario()
    {
        for (std::size_t i = 0; i < 2; ++i)
            this->startAgent(i);
        for (std::size_t i = 0; i < 2; ++i)
            this->startEntry(i);
    }

    // Switches.
    bool areAppendsStored = true;
    AppendResult appendResult = AppendResult::Appended;
    /// Holds back the messages of entry 0 to agents until `releaseMessages`.
    bool areMessagesHeld = false;
    /// Holds back the answers of the application servers until `finishCalls`.
    bool areCallsHeld = false;
    /// Drops all messages of agents to entries.
    bool areAnswersLost = false;

    void startEntry(std::size_t index)
    {
        ActionRouterSettings settings;
        settings.entry = EntryId { "entry-" + std::to_string(index) };
        this->random.at(index) = std::make_unique<RandomSource>(index + 1);
        this->routers.at(index)
            = std::make_unique<ActionRouter>(settings, this->timers, *this->random.at(index), this->events);
        this->offsets.at(index) = 0;
        this->setCandidates({ 0, 1 });
        for (std::size_t agent = 0; agent < 2; ++agent)
            this->connect(index, agent);
        this->pump();
    }

    void killEntry(std::size_t index) { this->routers.at(index).reset(); }

    void startAgent(std::size_t index)
    {
        ActionHostSettings settings;
        settings.agent = agentId(index);
        settings.incarnation = Incarnation { ++this->lastIncarnation };
        settings.startedAt = this->wallNow();
        this->incarnations.at(index) = settings.incarnation;
        this->hosts.at(index) = std::make_unique<ActionHost>(settings, this->timers, this->events);
    }

    void restartAgent(std::size_t index)
    {
        this->hosts.at(index).reset();
        for (auto& router : this->routers) {
            if (router)
                router->onAgentLost(agentId(index));
        }
        this->pump();
        this->startAgent(index);
        for (std::size_t entry = 0; entry < 2; ++entry)
            this->connect(entry, index);
        this->pump();
    }

    void connect(std::size_t entry, std::size_t agent)
    {
        if (this->routers.at(entry))
            this->routers.at(entry)->onAgentConnected(agentId(agent), this->incarnations.at(agent));
    }

    /// Sets the agents that the VM list names.
    void setCandidates(const std::vector<std::size_t>& agents)
    {
        std::vector<CallCandidate> candidates;
        for (std::size_t agent : agents)
            candidates.push_back({ agentId(agent), ServiceId { "care-app" }, DataCentreId {} });
        for (auto& router : this->routers) {
            if (router)
                router->updateCandidates(candidates);
        }
    }

    void submit(std::size_t entry, std::uint64_t request)
    {
        CallRequest call;
        call.id = RequestId { request };
        call.service = ServiceId { "care-app" };
        call.key = this->key;
        call.call.method = "POST";
        call.deadline = this->timers.now() + std::chrono::seconds { 5 };
        this->routers.at(entry)->submit(call, this->wallNow());
        this->pump();
    }

    void advance(std::chrono::milliseconds by)
    {
        this->timers.advance(this->timers.now() + by);
        this->pump();
    }

    /// Delivers the messages of entry 0 that were held back.
    void releaseMessages()
    {
        this->areMessagesHeld = false;
        std::vector<SendToAgent> messages;
        messages.swap(this->heldMessages);
        for (const SendToAgent& message : messages)
            this->deliver(0, message);
        this->pump();
    }

    void finishCalls()
    {
        this->areCallsHeld = false;
        auto calls = std::move(this->heldCalls);
        this->heldCalls.clear();
        for (const auto& [agent, number] : calls)
            this->answer(agent, number);
        this->pump();
    }

    bool isAnswered(std::uint64_t request) const { return this->answers.contains(RequestId { request }); }
    std::string answerOf(std::uint64_t request) const { return this->answers.at(RequestId { request }); }
    Refusal refusalOf(std::uint64_t request) const { return this->refusals.at(RequestId { request }); }
    bool isRefusedWith(std::uint64_t request, Outcome outcome) const
    {
        auto found = this->refusals.find(RequestId { request });
        return found != this->refusals.end() && found->second.outcome == outcome;
    }

    const IdempotencyKey key = keyAt(DayStart, 1);
    /// Number of calls that reached the application servers.
    int effects = 0;

private:
    static AgentId agentId(std::size_t index) { return AgentId { "app-" + std::to_string(index) }; }

    WallTime wallNow() const
    {
        return DayStart
            + std::chrono::duration_cast<std::chrono::milliseconds>(this->timers.now().time_since_epoch());
    }

    void pump()
    {
        bool isBusy = true;
        while (isBusy) {
            isBusy = false;
            for (std::size_t i = 0; i < 2; ++i)
                isBusy = this->pumpEntry(i) || isBusy;
            for (std::size_t i = 0; i < 2; ++i)
                isBusy = this->pumpAgent(i) || isBusy;
        }
    }

    bool pumpEntry(std::size_t index)
    {
        if (!this->routers.at(index))
            return false;
        this->read(index);
        auto actions = this->routers.at(index)->takeActions();
        for (const CallAction& action : actions)
            this->perform(index, action);
        return !actions.empty();
    }

    void perform(std::size_t index, const CallAction& action)
    {
        if (auto* append = std::get_if<AppendClaims>(&action)) {
            if (this->areAppendsStored)
                this->log.insert(this->log.end(), append->records.begin(), append->records.end());
            this->routers.at(index)->onAppendResult(append->append, this->appendResult);
        } else if (auto* finish = std::get_if<FinishCall>(&action)) {
            this->answers[finish->request] = finish->answer.body;
        } else if (auto* refuse = std::get_if<RefuseRequest>(&action)) {
            this->refusals[refuse->request] = refuse->refusal;
        } else if (this->areMessagesHeld && index == 0) {
            this->heldMessages.push_back(std::get<SendToAgent>(action));
        } else {
            this->deliver(index, std::get<SendToAgent>(action));
        }
    }

    void read(std::size_t index)
    {
        std::vector<LogRecord> records;
        for (std::size_t& next = this->offsets.at(index); next < this->log.size(); ++next)
            records.push_back({ LogOffset { next }, this->wallNow(), this->log[next] });
        if (!records.empty())
            this->routers.at(index)->onRecords(records);
    }

    void deliver(std::size_t entry, const SendToAgent& message)
    {
        std::size_t agent = message.agent == agentId(0) ? 0 : 1;
        if (this->hosts.at(agent))
            this->hosts.at(agent)->onMessage(ConnectionId { entry }, message.message);
    }

    bool pumpAgent(std::size_t index)
    {
        if (!this->hosts.at(index))
            return false;
        auto actions = this->hosts.at(index)->takeActions();
        for (const ActionHostAction& action : actions) {
            if (auto* call = std::get_if<CallApplication>(&action)) {
                ++this->effects;
                if (this->areCallsHeld)
                    this->heldCalls.emplace_back(index, call->number);
                else
                    this->answer(index, call->number);
                continue;
            }
            const auto& sent = std::get<SendToEntry>(action);
            auto& router = this->routers.at(sent.connection.raw());
            if (router && !this->areAnswersLost)
                router->onMessage(agentId(index), sent.message);
        }
        return !actions.empty();
    }

    void answer(std::size_t agent, ApplicationCallId number)
    {
        ApplicationAnswer answer;
        answer.status = 200;
        answer.body = "effect " + std::to_string(this->effects);
        if (this->hosts.at(agent))
            this->hosts.at(agent)->onCallEnded(number, ApplicationCallResult::Answered, answer);
    }

    TimerService timers;
    NullEventSink events;
    std::array<std::unique_ptr<RandomSource>, 2> random;
    std::array<std::unique_ptr<ActionRouter>, 2> routers;
    std::array<std::size_t, 2> offsets {};
    std::array<std::unique_ptr<ActionHost>, 2> hosts;
    std::array<Incarnation, 2> incarnations;
    std::uint64_t lastIncarnation = 0;
    std::vector<std::string> log;
    std::vector<SendToAgent> heldMessages;
    std::vector<std::pair<std::size_t, ApplicationCallId>> heldCalls;
    std::map<RequestId, std::string> answers;
    std::map<RequestId, Refusal> refusals;
};

} // namespace peridotgrade::testing
