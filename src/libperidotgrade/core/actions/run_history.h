// History of a randomised simulation, and the check of its outcomes against the effects.
#pragma once

#include "effect.h"
#include "submission.h"

#include <deque>
#include <map>
#include <optional>
#include <sstream>

namespace peridotgrade::testing {

/// Records outcomes and effects during a run and checks them at its end. The timeline is bounded: its oldest
/// lines are dropped first.
class RunHistory {
public:
    void addLine(TimePoint at, const std::string& who, const std::string& what)
    {
        std::ostringstream line;
        line << std::chrono::duration_cast<std::chrono::microseconds>(at.time_since_epoch()).count() << "us "
             << who << ' ' << what;
        this->lines.push_back(line.str());
        if (this->lines.size() > MaxLines)
            this->lines.pop_front();
    }

    void recordSubmission(Submission submission)
    {
        this->submissions.emplace(submission.id, std::move(submission));
    }

    void recordOutcome(
        RequestId id, TimePoint at, Outcome outcome, RefusalReason reason, const std::string& answer)
    {
        Submission& submission = this->submissions.at(id);
        if (submission.endedAt)
            this->fail("answered twice", submission.key);
        if (submission.isDisconnected)
            return;
        submission.endedAt = at;
        submission.outcome = outcome;
        submission.reason = reason;
        submission.answer = answer;
    }

    void markDisconnected(RequestId id) { this->submissions.at(id).isDisconnected = true; }

    void recordEffect(Effect effect) { this->effects[effect.key].push_back(std::move(effect)); }

    void check()
    {
        for (const auto& [key, effects] : this->effects) {
            if (effects.size() > 1)
                this->fail("ran " + std::to_string(effects.size()) + " times", key);
        }
        std::map<IdempotencyKey, bool> isAlwaysNotRun;
        for (const auto& [id, submission] : this->submissions) {
            this->check(submission);
            bool isNotRun = submission.endedAt && submission.outcome == Outcome::NotRun;
            auto [alwaysNotRun, isNew] = isAlwaysNotRun.try_emplace(submission.key, true);
            alwaysNotRun->second = alwaysNotRun->second && isNotRun;
        }
        for (const auto& [key, alwaysNotRun] : isAlwaysNotRun) {
            if (alwaysNotRun && this->effects.contains(key))
                this->fail("every caller got not-run, but the action ran", key);
        }
    }

    std::size_t count(Outcome outcome) const
    {
        std::size_t count = 0;
        for (const auto& [id, submission] : this->submissions)
            count += submission.endedAt && submission.outcome == outcome;
        return count;
    }

    const std::vector<std::string>& failures() const { return this->violations; }

    /// The last lines, oldest first.
    std::string timeline() const
    {
        std::string text;
        for (const std::string& line : this->lines)
            text += line + '\n';
        return text;
    }

private:
    static constexpr std::size_t MaxLines = 4000;

    void fail(const std::string& what, const IdempotencyKey& key)
    {
        this->violations.push_back(what + ": " + key.raw());
    }

    void check(const Submission& submission)
    {
        if (submission.isDisconnected)
            return;
        if (!submission.endedAt) {
            this->fail("no outcome reported", submission.key);
            return;
        }
        // For a read, only the number of outcomes is checked, not the answer.
        if (submission.key.raw().empty())
            return;
        auto effects = this->effects.find(submission.key);
        bool hasRun = effects != this->effects.end();
        if (submission.outcome == Outcome::Answered) {
            if (!hasRun || effects->second.front().answer != submission.answer)
                this->fail("answered with a wrong answer", submission.key);
        }
        if (submission.outcome == Outcome::NotRun && hasRun) {
            for (const Effect& effect : effects->second) {
                if (this->wasStartedFor(effect, submission))
                    this->fail("outcome not-run, but the action ran", submission.key);
            }
        }
    }

    /// Requests with one key that are open in one incarnation of an entry at the same time share their
    /// outcome.
    bool wasStartedFor(const Effect& effect, const Submission& submission) const
    {
        if (effect.origin == submission.id)
            return true;
        const Submission& origin = this->submissions.at(effect.origin);
        bool wasRefusedAtOnce = submission.endedAt == submission.submittedAt;
        if (origin.entryIncarnation != submission.entryIncarnation || wasRefusedAtOnce)
            return false;
        bool originWasOpen = origin.endedAt.value_or(origin.deadline) >= submission.submittedAt;
        return originWasOpen && effect.startedAt <= *submission.endedAt;
    }

    std::map<RequestId, Submission> submissions;
    std::map<IdempotencyKey, std::vector<Effect>> effects;
    std::vector<std::string> violations;
    std::deque<std::string> lines;
};

} // namespace peridotgrade::testing
