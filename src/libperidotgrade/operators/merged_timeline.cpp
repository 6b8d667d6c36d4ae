// Parses the timelines of processes, merges them and writes the result.
#include "peridotgrade/operators/merged_timeline.h"

#include <boost/json.hpp>

#include <algorithm>
#include <map>
#include <sstream>
#include <tuple>

namespace peridotgrade {

namespace json = boost::json;

namespace {

    constexpr unsigned CounterBits = 16;
    constexpr std::uint64_t CounterMask = (1U << CounterBits) - 1;
    constexpr std::uint64_t MicrosecondsPerMillisecond = 1'000;

    std::string textIn(const json::object& object, std::string_view key)
    {
        const json::value* value = object.if_contains(key);
        return value != nullptr && value->is_string() ? std::string { value->as_string() } : std::string {};
    }

    std::uint64_t numberIn(const json::object& object, std::string_view key)
    {
        const json::value* value = object.if_contains(key);
        boost::system::error_code ignored;
        return value != nullptr && value->is_number() ? value->to_number<std::uint64_t>(ignored) : 0;
    }

    MergedEvent eventFrom(const std::string& node, const json::object& object)
    {
        MergedEvent event;
        event.clock = numberIn(object, "clock");
        event.node = node;
        event.kind = textIn(object, "kind");
        event.request = textIn(object, "request");
        event.attempt = numberIn(object, "attempt");
        event.subject = textIn(object, "subject");
        event.detail = textIn(object, "detail");
        return event;
    }

    std::uint64_t millisecondsOf(const MergedEvent& event) { return event.clock >> CounterBits; }

    json::object objectOf(const MergedEvent& event)
    {
        json::object object;
        object["timeMs"] = millisecondsOf(event);
        object["counter"] = event.clock & CounterMask;
        object["node"] = event.node;
        object["kind"] = event.kind;
        object["request"] = event.request;
        object["attempt"] = event.attempt;
        object["subject"] = event.subject;
        object["detail"] = event.detail;
        return object;
    }

    json::object metadataEvent(
        std::string_view kind, std::uint64_t process, std::uint64_t thread, std::string name)
    {
        json::object event;
        event["name"] = kind;
        event["ph"] = "M";
        event["pid"] = process;
        event["tid"] = thread;
        event["args"] = json::object { { "name", std::move(name) } };
        return event;
    }

    /// Assigns numbers to names in the order of their first use, starting at 1.
    class Numbering {
    public:
        /// Returns the number and whether it is new.
        std::pair<std::uint64_t, bool> of(const std::string& name)
        {
            auto [entry, isNew] = this->numbers.emplace(name, this->numbers.size() + 1);
            return { entry->second, isNew };
        }

    private:
        std::map<std::string, std::uint64_t> numbers;
    };

} // namespace

bool MergedTimeline::add(const std::string& source, const std::string& text)
{
    boost::system::error_code failure;
    json::value value = json::parse(text, failure);
    const json::object* object = !failure && value.is_object() ? &value.as_object() : nullptr;
    const json::value* list = object == nullptr ? nullptr : object->if_contains("events");
    if (list == nullptr || !list->is_array()) {
        this->missing.push_back(source + ": not a timeline");
        return false;
    }
    std::string node = textIn(*object, "node");
    this->lostEvents += numberIn(*object, "lost");
    for (const json::value& each : list->as_array()) {
        if (each.is_object())
            this->events.push_back(eventFrom(node, each.as_object()));
    }
    return true;
}

void MergedTimeline::sort()
{
    std::stable_sort(
        this->events.begin(), this->events.end(), [](const MergedEvent& one, const MergedEvent& other) {
            return std::tie(one.clock, one.node) < std::tie(other.clock, other.node);
        });
}

std::string MergedTimeline::text() const
{
    std::ostringstream out;
    for (const MergedEvent& event : this->events) {
        out << millisecondsOf(event) << "." << (event.clock & CounterMask) << " " << event.node << " "
            << event.kind;
        if (!event.request.empty())
            out << " request=" << event.request << "/" << event.attempt;
        if (!event.subject.empty())
            out << " subject=" << event.subject;
        if (!event.detail.empty())
            out << " detail=\"" << event.detail << "\"";
        out << "\n";
    }
    out << this->events.size() << " events, " << this->lostEvents << " lost from full rings\n";
    for (const std::string& each : this->missing)
        out << "missing: " << each << "\n";
    return out.str();
}

std::string MergedTimeline::json() const
{
    json::array list;
    for (const MergedEvent& event : this->events)
        list.push_back(objectOf(event));
    json::array absent;
    for (const std::string& each : this->missing)
        absent.emplace_back(each);
    json::object result;
    result["events"] = std::move(list);
    result["lostEvents"] = this->lostEvents;
    result["missing"] = std::move(absent);
    return json::serialize(result);
}

std::string MergedTimeline::traceEvents() const
{
    json::array list;
    Numbering processes;
    Numbering threads;
    for (const MergedEvent& event : this->events) {
        auto [process, isNewProcess] = processes.of(event.node);
        auto [thread, isNewThread] = threads.of(event.node + " " + event.request);
        if (isNewProcess)
            list.push_back(metadataEvent("process_name", process, 0, event.node));
        if (isNewThread)
            list.push_back(
                metadataEvent("thread_name", process, thread, event.request.empty() ? "-" : event.request));
        json::object item;
        item["name"] = event.kind;
        item["ph"] = "i";
        item["s"] = "t";
        item["ts"] = millisecondsOf(event) * MicrosecondsPerMillisecond + (event.clock & CounterMask);
        item["pid"] = process;
        item["tid"] = thread;
        item["args"] = objectOf(event);
        list.push_back(std::move(item));
    }
    json::object result;
    result["traceEvents"] = std::move(list);
    result["lostEvents"] = this->lostEvents;
    return json::serialize(result);
}

} // namespace peridotgrade
