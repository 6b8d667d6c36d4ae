// Parsing, scope and creation time of idempotency keys.
#pragma once

#include "peridotgrade/core/base/time.h"
#include "peridotgrade/core/messages/action_messages.h"

#include <optional>

namespace peridotgrade {

/// The caller's key in lower case if it is a version 7 UUID in its usual text form; otherwise nothing.
std::optional<IdempotencyKey> parseIdempotencyKey(std::string_view text);

/// The key as used between processes and in the log. Keys of different workspaces or services never collide.
IdempotencyKey scopedKey(
    const WorkspaceId& workspace, const ServiceId& service, const IdempotencyKey& unscopedKey);

/// The caller's part of a scoped key, or the key itself if it has no scope.
IdempotencyKey unscopedKey(const IdempotencyKey& key);

/// Creation time of a key, scoped or not, by the clock of its creator; nothing if it is not a version 7 UUID.
std::optional<WallTime> creationTimeOf(const IdempotencyKey& key);

} // namespace peridotgrade
