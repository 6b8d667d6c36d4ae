// The quarantined requests and parts of prompts, for operators.
#pragma once

#include "peridotgrade/core/base/time.h"
#include "peridotgrade/core/quarantine/crash_registry.h"
#include "peridotgrade/net/http_message.h"

#include <string_view>

namespace peridotgrade {

/// Path of the page at the listener for metrics.
constexpr std::string_view QuarantinePath = "/quarantine";

/// `GET /quarantine` lists what is quarantined: `content` as in the logs, of parts of prompts after `part-`,
/// `servers` that crashed, and `held_s`, the seconds for which it is held. `DELETE /quarantine/CONTENT`
/// releases one at every entry.
HttpResponse answerQuarantinePage(const HttpRequest& request, CrashRegistry& crashes, TimePoint now);

} // namespace peridotgrade
