// JSON Schema of intents.
#pragma once

#include <string_view>

namespace peridotgrade {

/// The schema that `POST /operator/intents` and `peridotctl intent` check against.
std::string_view intentsSchema();

} // namespace peridotgrade
