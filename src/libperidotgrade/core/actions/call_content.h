// Hash of the content of an application call.
#pragma once

#include "peridotgrade/core/messages/action_messages.h"

namespace peridotgrade {

/// The hash is equal for a repeated call and differs for another call with the same key. Headers are left
/// out, since proxies on the way change them.
Fingerprint contentOf(const ApplicationCall& call);

} // namespace peridotgrade
