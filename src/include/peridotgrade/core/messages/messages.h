// All messages between an entry and an agent, as one variant type for each direction.
#pragma once

#include "peridotgrade/core/messages/action_messages.h"
#include "peridotgrade/core/messages/reservation_messages.h"
#include "peridotgrade/core/messages/session_messages.h"
#include "peridotgrade/core/messages/stream_messages.h"
#include "peridotgrade/core/messages/version_messages.h"

#include <variant>

namespace peridotgrade {

/// Sent by an entry shard to an agent.
using EntryMessage = std::variant<OpenSession, RenewSession, ReservationRequest, ReleaseAttempt, StartPrefill,
    StartDecode, StartRead, StartAction, QueryAction, VersionNotice, FetchConfiguration,
    ConfigurationSnapshot, QuarantineNotice>;

/// Sent by an agent to an entry shard.
using AgentMessage = std::variant<SessionOpened, SessionRefused, Draining, ReservationGranted,
    ReservationRefused, PrefillFinished, TokenFrame, AttemptFailed, EngineCrashed, CacheChanged, ReadAnswered,
    ReadFailed, ActionReport, VersionNotice, FetchConfiguration, ConfigurationSnapshot, QuarantineNotice>;

} // namespace peridotgrade
