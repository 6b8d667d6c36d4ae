// Maps each message to its member of the Thrift union and back.
#include "convert_unions.h"

#include "convert_action.h"
#include "convert_reservation.h"
#include "convert_session.h"
#include "convert_stream.h"
#include "convert_version.h"

#include <memory>

namespace peridotgrade {

namespace {

    template <typename Message> auto toSharedWire(const Message& message)
    {
        auto converted = toWire(message);
        return std::make_shared<decltype(converted)>(std::move(converted));
    }

    /// Thrift leaves a null reference for a member that was received without any field.
    template <typename Wire> auto valueOf(const std::shared_ptr<Wire>& member)
    {
        return fromWire(member ? std::move(*member) : Wire {});
    }

    void setMember(wire::EntryMessage& target, const OpenSession& message)
    {
        target.__set_openSession(toSharedWire(message));
    }
    void setMember(wire::EntryMessage& target, const RenewSession& message)
    {
        target.__set_renewSession(toSharedWire(message));
    }
    void setMember(wire::EntryMessage& target, const ReservationRequest& message)
    {
        target.__set_askPlace(toSharedWire(message));
    }
    void setMember(wire::EntryMessage& target, const ReleaseAttempt& message)
    {
        target.__set_releaseAttempt(toSharedWire(message));
    }
    void setMember(wire::EntryMessage& target, const StartPrefill& message)
    {
        target.__set_startPrefill(toSharedWire(message));
    }
    void setMember(wire::EntryMessage& target, const StartDecode& message)
    {
        target.__set_startDecode(toSharedWire(message));
    }
    void setMember(wire::EntryMessage& target, const StartRead& message)
    {
        target.__set_startRead(toSharedWire(message));
    }
    void setMember(wire::EntryMessage& target, const StartAction& message)
    {
        target.__set_startAction(toSharedWire(message));
    }
    void setMember(wire::EntryMessage& target, const QueryAction& message)
    {
        target.__set_queryAction(toSharedWire(message));
    }
    void setMember(wire::EntryMessage& target, const VersionNotice& message)
    {
        target.__set_versionNotice(toSharedWire(message));
    }
    void setMember(wire::EntryMessage& target, const FetchConfiguration& message)
    {
        target.__set_fetchConfiguration(toSharedWire(message));
    }
    void setMember(wire::EntryMessage& target, const ConfigurationSnapshot& message)
    {
        target.__set_configurationSnapshot(toSharedWire(message));
    }
    void setMember(wire::EntryMessage& target, const QuarantineNotice& message)
    {
        target.__set_quarantineNotice(toSharedWire(message));
    }
    void setMember(wire::AgentMessage& target, const SessionOpened& message)
    {
        target.__set_sessionOpened(toSharedWire(message));
    }
    void setMember(wire::AgentMessage& target, const SessionRefused& message)
    {
        target.__set_sessionRefused(toSharedWire(message));
    }
    void setMember(wire::AgentMessage& target, const Draining& message)
    {
        target.__set_draining(toSharedWire(message));
    }
    void setMember(wire::AgentMessage& target, const ReservationGranted& message)
    {
        target.__set_placeGranted(toSharedWire(message));
    }
    void setMember(wire::AgentMessage& target, const ReservationRefused& message)
    {
        target.__set_placeRefused(toSharedWire(message));
    }
    void setMember(wire::AgentMessage& target, const PrefillFinished& message)
    {
        target.__set_prefillFinished(toSharedWire(message));
    }
    void setMember(wire::AgentMessage& target, const TokenFrame& message)
    {
        target.__set_tokenFrame(toSharedWire(message));
    }
    void setMember(wire::AgentMessage& target, const AttemptFailed& message)
    {
        target.__set_attemptFailed(toSharedWire(message));
    }
    void setMember(wire::AgentMessage& target, const EngineCrashed& message)
    {
        target.__set_engineCrashed(toSharedWire(message));
    }
    void setMember(wire::AgentMessage& target, const CacheChanged& message)
    {
        target.__set_cacheChanged(toSharedWire(message));
    }
    void setMember(wire::AgentMessage& target, const ReadAnswered& message)
    {
        target.__set_readAnswered(toSharedWire(message));
    }
    void setMember(wire::AgentMessage& target, const ReadFailed& message)
    {
        target.__set_readFailed(toSharedWire(message));
    }
    void setMember(wire::AgentMessage& target, const ActionReport& message)
    {
        target.__set_actionReport(toSharedWire(message));
    }
    void setMember(wire::AgentMessage& target, const VersionNotice& message)
    {
        target.__set_versionNotice(toSharedWire(message));
    }
    void setMember(wire::AgentMessage& target, const FetchConfiguration& message)
    {
        target.__set_fetchConfiguration(toSharedWire(message));
    }
    void setMember(wire::AgentMessage& target, const ConfigurationSnapshot& message)
    {
        target.__set_configurationSnapshot(toSharedWire(message));
    }
    void setMember(wire::AgentMessage& target, const QuarantineNotice& message)
    {
        target.__set_quarantineNotice(toSharedWire(message));
    }

} // namespace

wire::EntryMessage toWire(const EntryMessage& message)
{
    wire::EntryMessage result;
    std::visit([&result](const auto& alternative) { setMember(result, alternative); }, message);
    return result;
}

std::optional<EntryMessage> fromWire(wire::EntryMessage&& message)
{
    if (message.__isset.openSession)
        return valueOf(message.openSession);
    if (message.__isset.renewSession)
        return valueOf(message.renewSession);
    if (message.__isset.askPlace)
        return valueOf(message.askPlace);
    if (message.__isset.releaseAttempt)
        return valueOf(message.releaseAttempt);
    if (message.__isset.startPrefill)
        return valueOf(message.startPrefill);
    if (message.__isset.startDecode)
        return valueOf(message.startDecode);
    if (message.__isset.startRead)
        return valueOf(message.startRead);
    if (message.__isset.startAction)
        return valueOf(message.startAction);
    if (message.__isset.queryAction)
        return valueOf(message.queryAction);
    if (message.__isset.versionNotice)
        return valueOf(message.versionNotice);
    if (message.__isset.fetchConfiguration)
        return valueOf(message.fetchConfiguration);
    if (message.__isset.configurationSnapshot)
        return valueOf(message.configurationSnapshot);
    if (message.__isset.quarantineNotice)
        return valueOf(message.quarantineNotice);
    return std::nullopt;
}

wire::AgentMessage toWire(const AgentMessage& message)
{
    wire::AgentMessage result;
    std::visit([&result](const auto& alternative) { setMember(result, alternative); }, message);
    return result;
}

std::optional<AgentMessage> fromWire(wire::AgentMessage&& message)
{
    if (message.__isset.sessionOpened)
        return valueOf(message.sessionOpened);
    if (message.__isset.sessionRefused)
        return valueOf(message.sessionRefused);
    if (message.__isset.draining)
        return valueOf(message.draining);
    if (message.__isset.placeGranted)
        return valueOf(message.placeGranted);
    if (message.__isset.placeRefused)
        return valueOf(message.placeRefused);
    if (message.__isset.prefillFinished)
        return valueOf(message.prefillFinished);
    if (message.__isset.tokenFrame)
        return valueOf(message.tokenFrame);
    if (message.__isset.attemptFailed)
        return valueOf(message.attemptFailed);
    if (message.__isset.engineCrashed)
        return valueOf(message.engineCrashed);
    if (message.__isset.cacheChanged)
        return valueOf(message.cacheChanged);
    if (message.__isset.readAnswered)
        return valueOf(message.readAnswered);
    if (message.__isset.readFailed)
        return valueOf(message.readFailed);
    if (message.__isset.actionReport)
        return valueOf(message.actionReport);
    if (message.__isset.versionNotice)
        return valueOf(message.versionNotice);
    if (message.__isset.fetchConfiguration)
        return valueOf(message.fetchConfiguration);
    if (message.__isset.configurationSnapshot)
        return valueOf(message.configurationSnapshot);
    if (message.__isset.quarantineNotice)
        return valueOf(message.quarantineNotice);
    return std::nullopt;
}

} // namespace peridotgrade
