// What callers receive in a simulation: every request, its tokens and its end, checked on arrival.
#pragma once

#include "fake_answer.h"
#include "peridotgrade/core/routing/router_action.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace peridotgrade::test {

struct LedgerEntry {
    std::string prompt;
    std::uint32_t maxTokens = 0;
    /// Index of the entry process that the request was sent to.
    std::size_t entry = 0;
    std::uint32_t received = 0;
    /// Engine streams that its tokens came from, in order. Invariant: no stream occurs twice.
    std::vector<std::string> streams;
    /// Number of final actions of the router. Invariant: at most one, none after a cancellation.
    std::uint32_t finalActions = 0;
    /// The caller cancelled, or its entry died.
    bool isAbandoned = false;
    bool isAnswered = false;
    Refusal refusal;
};

/// Records each violated guarantee as one line of `failures`.
class RequestLedger {
public:
    std::vector<std::string> failures;

    void open(RequestId id, LedgerEntry entry) { this->entries.emplace(id, std::move(entry)); }
    void markAbandoned(RequestId id) { this->entries[id].isAbandoned = true; }
    const std::map<RequestId, LedgerEntry>& all() const { return this->entries; }

    void onTokens(const DeliverTokens& tokens)
    {
        LedgerEntry* entry = this->checkOpen(tokens.request, "tokens");
        if (!entry)
            return;
        if (tokens.firstIndex != entry->received)
            this->fail(
                tokens.request, "token index " + std::to_string(tokens.firstIndex) + " is not the next");
        for (const std::string& piece : tokens.pieces) {
            std::string stream = streamOf(piece);
            if (piece != answerPiece(entry->prompt, entry->received++, stream))
                this->fail(tokens.request, "token of another answer: " + piece);
            if (!entry->streams.empty() && entry->streams.back() == stream)
                continue;
            if (std::find(entry->streams.begin(), entry->streams.end(), stream) != entry->streams.end())
                this->fail(tokens.request, "token of an attempt that had ended: " + piece);
            entry->streams.push_back(stream);
        }
    }

    void onFinish(const FinishAnswer& answer)
    {
        LedgerEntry* entry = this->checkOpen(answer.request, "finish");
        if (!entry)
            return;
        ++entry->finalActions;
        entry->isAnswered = true;
        if (entry->received != answerLength(entry->prompt, entry->maxTokens))
            this->fail(
                answer.request, "answer is incomplete, tokens received: " + std::to_string(entry->received));
    }

    const LedgerEntry* onRefuse(const RefuseRequest& refusal)
    {
        LedgerEntry* entry = this->checkOpen(refusal.request, "refusal");
        if (!entry)
            return nullptr;
        ++entry->finalActions;
        entry->refusal = refusal.refusal;
        if (refusal.refusal.outcome != Outcome::NotRun)
            return entry;
        // The same poison prompt is sent again under new ids, so a run under one id says nothing about the
        // next.
        bool hasStarted = this->started.contains(entry->prompt) && !isPoison(entry->prompt);
        if (entry->received > 0 || hasStarted)
            this->fail(refusal.request, "reported not-run, but it ran");
        this->reportedNotRun.insert(entry->prompt);
        return entry;
    }

    /// Records that an engine starts work on a prompt.
    void onEngineStart(const std::string& callersPrompt)
    {
        this->started.insert(callersPrompt);
        if (this->reportedNotRun.contains(callersPrompt) && !isPoison(callersPrompt))
            this->failures.push_back("ran after it was reported not-run: " + callersPrompt);
    }

    void checkAllEnded()
    {
        for (const auto& [id, entry] : this->entries) {
            if (!entry.isAbandoned && entry.finalActions != 1)
                this->fail(id, "ended " + std::to_string(entry.finalActions) + " times");
        }
    }

private:
    LedgerEntry* checkOpen(RequestId id, const char* what)
    {
        auto found = this->entries.find(id);
        if (found == this->entries.end()) {
            this->fail(id, std::string(what) + " of an unknown request");
            return nullptr;
        }
        if (found->second.finalActions > 0 || found->second.isAbandoned)
            this->fail(id, std::string(what) + " after the end");
        return &found->second;
    }

    void fail(RequestId id, const std::string& what)
    {
        this->failures.push_back("request " + std::to_string(id.raw() % 100000) + ": " + what);
    }

    std::map<RequestId, LedgerEntry> entries;
    std::set<std::string> started;
    std::set<std::string> reportedNotRun;
};

} // namespace peridotgrade::test
