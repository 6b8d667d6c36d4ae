// The randomised simulation: time, callers, entries and their log.
#include "action_simulation.h"

#include <algorithm>

namespace peridotgrade::testing {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::minutes;
    using std::chrono::seconds;

    const ServiceId Service { "care-app" };
    const DataCentreId DataCentre { "dc" };
    constexpr seconds PollInterval { 3 };
    constexpr minutes FaultTime { 80 };
    constexpr minutes RecoveryTime { 120 };
    constexpr minutes LogRetention { 60 };

} // namespace

ActionSimulation::ActionSimulation(std::uint64_t seed, FaultRates faults)
    : faults(faults)
    , random(seed)
    , log(LogRetention)
{
}

// Event loop.

WallTime ActionSimulation::wallNow() const
{
    return DayStart + std::chrono::duration_cast<milliseconds>(this->now().time_since_epoch());
}

Duration ActionSimulation::between(Duration least, Duration most)
{
    auto span = static_cast<std::uint64_t>((most - least).count());
    return least + Duration { static_cast<Duration::rep>(this->random.below(span + 1)) };
}

Duration ActionSimulation::networkDelay()
{
    if (this->chance(this->faults.slowMessage))
        return this->between(milliseconds { 100 }, seconds { 20 });
    return this->between(milliseconds { 1 }, milliseconds { 8 });
}

Duration ActionSimulation::outageLength()
{
    if (this->chance(0.5))
        return this->between(milliseconds { 50 }, seconds { 2 });
    if (this->chance(0.6))
        return this->between(seconds { 2 }, minutes { 2 });
    return this->between(minutes { 2 }, minutes { 70 });
}

void ActionSimulation::after(Duration delay, std::function<void()> callback)
{
    this->timers.subscribeAfter(delay, std::move(callback));
}

void ActionSimulation::post(SimulatedNode& node, Duration delay, std::function<void()> work)
{
    this->after(delay, [this, &node, incarnation = node.incarnation, work = std::move(work)] {
        if (node.isAlive && node.incarnation == incarnation)
            this->handleArrival(node, work);
    });
}

void ActionSimulation::handleArrival(SimulatedNode& node, const std::function<void()>& work)
{
    if (node.isFrozen) {
        node.inbox.push_back(work);
        return;
    }
    node.timers->advance(this->now());
    work();
    this->pump(node);
}

std::optional<TimePoint> ActionSimulation::nextDue() const
{
    std::optional<TimePoint> due = this->timers.nextDue();
    auto consider = [&](const SimulatedNode& node) {
        auto nodeDue = node.isRunning() ? node.timers->nextDue() : std::nullopt;
        if (nodeDue && (!due || *nodeDue < *due))
            due = nodeDue;
    };
    for (const SimulatedEntry& entry : this->entries)
        consider(entry);
    for (const SimulatedAgent& agent : this->agents)
        consider(agent);
    return due;
}

void ActionSimulation::runUntil(TimePoint end)
{
    auto serve = [this](SimulatedNode& node) {
        if (!node.isRunning())
            return;
        node.timers->advance(this->now());
        this->pump(node);
    };
    while (true) {
        auto due = this->nextDue();
        if (!due || *due > end)
            break;
        this->timers.advance(*due);
        for (SimulatedEntry& entry : this->entries)
            serve(entry);
        for (SimulatedAgent& agent : this->agents)
            serve(agent);
    }
    this->timers.advance(end);
}

void ActionSimulation::pump(SimulatedNode& node)
{
    for (SimulatedEntry& entry : this->entries) {
        if (&entry == &node)
            this->pumpEntry(entry);
    }
    for (SimulatedAgent& agent : this->agents) {
        if (&agent == &node)
            this->pumpAgent(agent);
    }
}

void ActionSimulation::run()
{
    for (std::size_t i = 0; i < EntryCount; ++i)
        this->entries.at(i).name = "entry-" + std::to_string(i);
    for (std::size_t i = 0; i < AgentCount; ++i) {
        this->agents.at(i).name = "app-" + std::to_string(i);
        this->startAgent(i);
    }
    for (std::size_t i = 0; i < EntryCount; ++i)
        this->startEntry(i);
    this->planSubmissions();
    this->runUntil(TimePoint {} + FaultTime);
    this->stopFaults();
    this->runUntil(TimePoint {} + FaultTime + RecoveryTime);
    this->runHistory.check();
}

// Callers.

void ActionSimulation::planSubmissions()
{
    std::vector<Duration> moments;
    for (int i = 0; i < KeyCount; ++i)
        moments.push_back(this->between(seconds { 1 }, FaultTime - minutes { 10 }));
    std::sort(moments.begin(), moments.end());
    for (int i = 0; i < SubmissionCount; ++i) {
        auto serial = static_cast<std::uint32_t>(this->random.below(KeyCount));
        Duration moment = moments[serial];
        WallTime keyTime = DayStart + std::chrono::duration_cast<milliseconds>(moment);
        if (this->chance(0.6))
            moment += this->between(milliseconds { 0 }, milliseconds { 40 });
        else
            moment += this->outageLength();
        Duration timeout = this->chance(0.8) ? this->between(milliseconds { 300 }, seconds { 20 })
                                             : this->between(seconds { 20 }, minutes { 10 });
        auto entry = static_cast<std::size_t>(this->random.below(EntryCount));
        this->after(moment,
            [this, entry, key = keyAt(keyTime, serial), timeout] { this->submit(entry, key, timeout); });
        if (this->chance(0.3))
            this->after(moment, [this, entry, timeout] { this->submit(entry, IdempotencyKey {}, timeout); });
        if (this->chance(this->faults.nearSubmission))
            this->after(moment + this->between(milliseconds { 0 }, milliseconds { 60 }),
                [this] { this->injectFault(); });
    }
}

void ActionSimulation::submit(std::size_t index, const IdempotencyKey& key, Duration timeout)
{
    SimulatedEntry& entry = this->entries.at(index);
    if (!entry.isRunning())
        return;
    entry.timers->advance(this->now());
    CallRequest request;
    request.id = RequestId { ++this->lastId };
    request.service = Service;
    request.key = key;
    request.call.method = request.isAction() ? "POST" : "GET";
    request.deadline = this->now() + timeout;
    Submission submission;
    submission.id = request.id;
    submission.key = key;
    submission.entryIncarnation = entry.incarnationName();
    submission.submittedAt = this->now();
    submission.deadline = request.deadline;
    this->runHistory.recordSubmission(std::move(submission));
    this->runHistory.addLine(this->now(), entry.incarnationName(), "submit " + key.raw());
    entry.submittedRequests.push_back(request.id);
    RequestId id = request.id;
    entry.router->submit(std::move(request), this->wallNow() + entry.clockError);
    if (this->chance(0.05)) {
        this->post(entry, this->between(milliseconds { 0 }, milliseconds { 50 }), [this, &entry, id] {
            this->runHistory.markDisconnected(id);
            entry.router->cancel(id);
        });
    }
    this->pumpEntry(entry);
}

// Entries.

void ActionSimulation::startEntry(std::size_t index)
{
    SimulatedEntry& entry = this->entries.at(index);
    ++entry.incarnation;
    entry.isAlive = true;
    entry.isFrozen = false;
    entry.inbox.clear();
    entry.router.reset();
    entry.timers = std::make_unique<TimerService>(this->now());
    entry.events = std::make_unique<HistorySink>(this->runHistory, entry.incarnationName());
    entry.random = std::make_unique<RandomSource>(this->random.next());
    entry.clockError = this->isFaultFree
        ? milliseconds { 0 }
        : std::chrono::duration_cast<milliseconds>(this->between(seconds { -20 }, seconds { 20 }));
    ActionRouterSettings settings;
    settings.entry = EntryId { entry.name };
    settings.dataCentre = DataCentre;
    settings.claimRetention = LogRetention;
    entry.router = std::make_unique<ActionRouter>(settings, *entry.timers, *entry.random, *entry.events);
    entry.nextOffset = 0;
    this->updateCandidates(entry);
    this->pollLog(index);
    for (std::size_t agent = 0; agent < AgentCount; ++agent)
        this->connect(index, agent);
}

void ActionSimulation::updateCandidates(SimulatedEntry& entry)
{
    // The VM list may miss servers and name some that no longer exist.
    std::vector<CallCandidate> candidates { { AgentId { "gone" }, Service, DataCentre } };
    for (const SimulatedAgent& agent : this->agents) {
        if (this->isFaultFree || !this->chance(0.1))
            candidates.push_back({ AgentId { agent.name }, Service, DataCentre });
    }
    entry.router->updateCandidates(std::move(candidates));
}

void ActionSimulation::pumpEntry(SimulatedEntry& entry)
{
    while (entry.isRunning()) {
        auto actions = entry.router->takeActions();
        if (actions.empty())
            return;
        for (const CallAction& action : actions) {
            bool isFaulty = !this->isFaultFree && this->chance(this->faults.atAction);
            if (isFaulty && this->chance(0.5))
                this->freeze(entry, this->outageLength());
            else if (isFaulty)
                this->kill(entry);
            // A frozen process has made its decisions, but carries them out only after it resumes.
            if (!entry.isAlive)
                return;
            if (entry.isFrozen)
                entry.inbox.push_back([this, &entry, action] { this->perform(entry, action); });
            else
                this->perform(entry, action);
        }
    }
}

void ActionSimulation::perform(SimulatedEntry& entry, const CallAction& action)
{
    if (auto* message = std::get_if<SendToAgent>(&action))
        this->sendToAgent(entry, *message);
    else if (auto* claims = std::get_if<AppendClaims>(&action))
        this->append(entry, *claims);
    else if (auto* finish = std::get_if<FinishCall>(&action))
        this->runHistory.recordOutcome(
            finish->request, this->now(), Outcome::Answered, {}, finish->answer.body);
    else if (auto* refuse = std::get_if<RefuseRequest>(&action))
        this->runHistory.recordOutcome(
            refuse->request, this->now(), refuse->refusal.outcome, refuse->refusal.reason, {});
}

void ActionSimulation::append(SimulatedEntry& entry, const AppendClaims& append)
{
    auto reportResult = [this, &entry, id = append.append](Duration delay, AppendResult result) {
        this->post(entry, delay, [&entry, id, result] { entry.router->onAppendResult(id, result); });
    };
    auto effect = [this, records = append.records](Duration delay) {
        this->after(delay, [this, records] { this->storeRecords(records); });
    };
    Duration requestDelay = this->networkDelay();
    Duration responseDelay = requestDelay + this->networkDelay();
    if (!this->isLogUp) {
        reportResult(responseDelay, this->chance(0.5) ? AppendResult::Refused : AppendResult::Unknown);
        return;
    }
    if (this->isFaultFree || !this->chance(this->faults.abnormalResult)) {
        effect(requestDelay);
        reportResult(responseDelay, AppendResult::Appended);
        return;
    }
    switch (this->random.below(4)) {
    case 0:
        reportResult(responseDelay, AppendResult::Refused);
        return;
    case 1:
        reportResult(responseDelay, AppendResult::Unknown);
        return;
    case 2:
        effect(requestDelay);
        reportResult(responseDelay, AppendResult::Unknown);
        return;
    default:
        // The log does not answer and stores the records much later.
        reportResult(seconds { 2 }, AppendResult::Unknown);
        effect(this->between(seconds { 1 }, minutes { 40 }));
        return;
    }
}

void ActionSimulation::storeRecords(const std::vector<std::string>& records)
{
    this->log.append(records, this->wallNow());
    for (const std::string& record : records)
        this->runHistory.addLine(this->now(), "log", record);
    for (std::size_t i = 0; i < EntryCount; ++i)
        this->after(this->networkDelay(), [this, i] { this->readLog(i); });
}

void ActionSimulation::pollLog(std::size_t index)
{
    SimulatedEntry& entry = this->entries.at(index);
    this->readLog(index);
    this->post(entry, PollInterval, [this, index] { this->pollLog(index); });
}

void ActionSimulation::readLog(std::size_t index)
{
    SimulatedEntry& entry = this->entries.at(index);
    if (!entry.isRunning())
        return;
    if (!this->isLogUp) {
        entry.router->setLogAvailable(false);
        this->pumpEntry(entry);
        return;
    }
    this->log.drop(this->wallNow());
    TimePoint began = this->now();
    std::size_t from = std::max(entry.nextOffset, this->log.oldest());
    this->post(entry, this->networkDelay(), [this, &entry, from, records = this->log.from(from), began] {
        this->deliver(entry, from, records, began);
    });
}

void ActionSimulation::deliver(
    SimulatedEntry& entry, std::size_t from, const std::vector<LogRecord>& records, TimePoint began)
{
    std::size_t end = from + records.size();
    if (from > entry.nextOffset)
        entry.router->onGap(LogOffset { from });
    entry.router->setLogAvailable(true);
    std::size_t known = std::max(entry.nextOffset, from);
    if (end > known)
        entry.router->onRecords(
            { records.begin() + static_cast<std::ptrdiff_t>(known - from), records.end() });
    entry.nextOffset = std::max(known, end);
    entry.router->onCaughtUp(LogOffset { entry.nextOffset }, began);
}

} // namespace peridotgrade::testing
