// The time line of one node of a randomised run.
#pragma once

#include "run_journal.h"

namespace peridotgrade::testing {

/// Writes a node's events into the journal.
class JournalSink final : public EventSink {
public:
    JournalSink(RunJournal& journal, std::string node)
        : journal(journal)
        , node(std::move(node))
    {
    }

    void record(TimelineEvent event) override
    {
        std::ostringstream text;
        text << nameOf(event.kind) << " request=" << event.attempt.request << " subject=" << event.subject
             << " detail=" << event.detail;
        this->journal.note(event.at, this->node, text.str());
    }

private:
    RunJournal& journal;
    std::string node;
};

} // namespace peridotgrade::testing
