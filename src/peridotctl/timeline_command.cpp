// The command `timeline`: merges and prints the timelines of all processes.
#include "commands.h"
#include "output.h"

#include "peridotgrade/operators/merged_timeline.h"

#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

#include <iostream>

namespace peridotgrade::ctl {

namespace {

    std::string targetOf(const TimelineOptions& options)
    {
        std::string subject = options.plan.empty() ? options.server : options.plan;
        return "/timeline?request=" + boost::urls::encode(options.request, boost::urls::unreserved_chars)
            + "&subject=" + boost::urls::encode(subject, boost::urls::unreserved_chars);
    }

} // namespace

int showTimeline(const CommandContext& context, const TimelineOptions& options)
{
    HttpRequest request;
    request.target = targetOf(options);
    MergedTimeline merged;
    for (const NodeAnswer& answer : context.client.sendToAll(context.site.all(), request)) {
        std::string source = toString(answer.node);
        if (const auto* error = std::get_if<NetError>(&answer.result)) {
            merged.missing.push_back(source + ": " + std::string { nameOf(error->kind) });
            continue;
        }
        merged.add(source, std::get<HttpResponse>(answer.result).body);
    }
    merged.sort();
    if (options.isTrace)
        std::cout << merged.traceEvents() << "\n";
    else if (context.isJson)
        std::cout << merged.json() << "\n";
    else
        std::cout << merged.text();
    return merged.missing.size() == context.site.all().size() ? Unreachable : Done;
}

} // namespace peridotgrade::ctl
