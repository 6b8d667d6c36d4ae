// Hash of the content of an application call.
#pragma once

#include "peridotgrade/core/messages/action_messages.h"

namespace peridotgrade {

/// Equal for a repeated call, different for another call with the same key. Headers are left out, since
/// proxies on the way change them.
Fingerprint contentOf(const ApplicationCall& call);

} // namespace peridotgrade
