// Field-by-field conversions of the messages of the sessions between entry shards and agents.
#include "convert_session.h"

namespace peridotgrade {

wire::OpenSession toWire(const OpenSession& value)
{
    wire::OpenSession result;
    result.entry = value.entry.raw();
    result.incarnation = rawOf(value.incarnation);
    result.version = rawOf(value.version);
    return result;
}

OpenSession fromWire(wire::OpenSession&& value)
{
    OpenSession result;
    result.entry = EntryId { std::move(value.entry) };
    result.incarnation = idFrom<Incarnation>(value.incarnation);
    result.version = idFrom<ConfigVersion>(value.version);
    return result;
}

wire::SessionOpened toWire(const SessionOpened& value)
{
    wire::SessionOpened result;
    result.agent = value.agent.raw();
    result.incarnation = rawOf(value.incarnation);
    result.epoch = rawOf(value.epoch);
    result.leaseDurationMs = value.leaseDuration.count();
    result.version = rawOf(value.version);
    result.draining = value.draining;
    return result;
}

SessionOpened fromWire(wire::SessionOpened&& value)
{
    SessionOpened result;
    result.agent = AgentId { std::move(value.agent) };
    result.incarnation = idFrom<Incarnation>(value.incarnation);
    result.epoch = idFrom<SessionEpoch>(value.epoch);
    result.leaseDuration = millisecondsFrom(value.leaseDurationMs);
    result.version = idFrom<ConfigVersion>(value.version);
    result.draining = value.draining;
    return result;
}

wire::RenewSession toWire(const RenewSession& value)
{
    wire::RenewSession result;
    result.epoch = rawOf(value.epoch);
    result.held.reserve(value.held.size());
    for (const AttemptId& attempt : value.held)
        result.held.push_back(toWire(attempt));
    result.version = rawOf(value.version);
    return result;
}

RenewSession fromWire(wire::RenewSession&& value)
{
    RenewSession result;
    result.epoch = idFrom<SessionEpoch>(value.epoch);
    result.held.reserve(value.held.size());
    for (const wire::AttemptId& attempt : value.held)
        result.held.push_back(fromWire(attempt));
    result.version = idFrom<ConfigVersion>(value.version);
    return result;
}

wire::SessionRefused toWire(const SessionRefused& value)
{
    wire::SessionRefused result;
    result.epoch = rawOf(value.epoch);
    return result;
}

SessionRefused fromWire(wire::SessionRefused&& value)
{
    SessionRefused result;
    result.epoch = idFrom<SessionEpoch>(value.epoch);
    return result;
}

wire::Draining toWire(const Draining&) { return wire::Draining {}; }

Draining fromWire(wire::Draining&&) { return Draining {}; }

} // namespace peridotgrade
