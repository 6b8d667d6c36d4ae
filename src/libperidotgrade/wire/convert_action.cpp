// Field-by-field conversions of the messages of application calls.
#include "convert_action.h"

namespace peridotgrade {

wire::StartRead toWire(const StartRead& value)
{
    wire::StartRead result;
    result.attempt = toWire(value.attempt);
    result.call = toWire(value.call);
    result.timeLeftMs = value.timeLeft.count();
    result.version = rawOf(value.version);
    return result;
}

StartRead fromWire(wire::StartRead&& value)
{
    StartRead result;
    result.attempt = fromWire(value.attempt);
    result.call = fromWire(std::move(value.call));
    result.timeLeft = millisecondsFrom(value.timeLeftMs);
    result.version = idFrom<ConfigVersion>(value.version);
    return result;
}

wire::ReadAnswered toWire(const ReadAnswered& value)
{
    wire::ReadAnswered result;
    result.attempt = toWire(value.attempt);
    result.answer = toWire(value.answer);
    return result;
}

ReadAnswered fromWire(wire::ReadAnswered&& value)
{
    ReadAnswered result;
    result.attempt = fromWire(value.attempt);
    result.answer = fromWire(std::move(value.answer));
    return result;
}

wire::ReadFailed toWire(const ReadFailed& value)
{
    wire::ReadFailed result;
    result.attempt = toWire(value.attempt);
    result.isDraining = value.isDraining;
    return result;
}

ReadFailed fromWire(wire::ReadFailed&& value)
{
    ReadFailed result;
    result.attempt = fromWire(value.attempt);
    result.isDraining = value.isDraining;
    return result;
}

wire::StartAction toWire(const StartAction& value)
{
    wire::StartAction result;
    result.attempt = toWire(value.attempt);
    result.key = value.key.raw();
    result.nonce = rawOf(value.nonce);
    result.incarnation = rawOf(value.incarnation);
    result.call = toWire(value.call);
    result.timeLeftMs = value.timeLeft.count();
    result.version = rawOf(value.version);
    return result;
}

StartAction fromWire(wire::StartAction&& value)
{
    StartAction result;
    result.attempt = fromWire(value.attempt);
    result.key = IdempotencyKey { std::move(value.key) };
    result.nonce = idFrom<ClaimNonce>(value.nonce);
    result.incarnation = idFrom<Incarnation>(value.incarnation);
    result.call = fromWire(std::move(value.call));
    result.timeLeft = millisecondsFrom(value.timeLeftMs);
    result.version = idFrom<ConfigVersion>(value.version);
    return result;
}

wire::QueryAction toWire(const QueryAction& value)
{
    wire::QueryAction result;
    result.attempt = toWire(value.attempt);
    result.key = value.key.raw();
    result.incarnation = rawOf(value.incarnation);
    result.seal = value.seal;
    return result;
}

QueryAction fromWire(wire::QueryAction&& value)
{
    QueryAction result;
    result.attempt = fromWire(value.attempt);
    result.key = IdempotencyKey { std::move(value.key) };
    result.incarnation = idFrom<Incarnation>(value.incarnation);
    result.seal = value.seal;
    return result;
}

wire::ActionReport toWire(const ActionReport& value)
{
    wire::ActionReport result;
    result.attempt = toWire(value.attempt);
    result.key = value.key.raw();
    result.incarnation = rawOf(value.incarnation);
    result.state = rawEnum(value.state);
    result.answer = toWire(value.answer);
    return result;
}

ActionReport fromWire(wire::ActionReport&& value)
{
    ActionReport result;
    result.attempt = fromWire(value.attempt);
    result.key = IdempotencyKey { std::move(value.key) };
    result.incarnation = idFrom<Incarnation>(value.incarnation);
    result.state = enumFrom(value.state, ActionState::RefusedUnstarted);
    result.answer = fromWire(std::move(value.answer));
    return result;
}

} // namespace peridotgrade
