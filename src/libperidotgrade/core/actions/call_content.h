// What an application call asks for, as one hash.
#pragma once

#include "peridotgrade/core/messages/action_messages.h"

namespace peridotgrade {

/// Equal for a call sent again, different for another call under the same key. Headers do not count: proxies
/// on the way change them.
Fingerprint contentOf(const ApplicationCall& call);

} // namespace peridotgrade
