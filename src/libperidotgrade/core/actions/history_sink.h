// Event sink that records the timeline of one simulated node.
#pragma once

#include "run_history.h"

namespace peridotgrade::testing {

/// Adds a node's events to the history.
class HistorySink final : public EventSink {
public:
    HistorySink(RunHistory& history, std::string node)
        : history(history)
        , node(std::move(node))
    {
    }

    void record(TimelineEvent event) override
    {
        std::ostringstream text;
        text << nameOf(event.kind) << " request=" << event.attempt.request << " subject=" << event.subject
             << " detail=" << event.detail;
        this->history.addLine(event.at, this->node, text.str());
    }

private:
    RunHistory& history;
    std::string node;
};

} // namespace peridotgrade::testing
