// JSON Schema of a set of intents.
#pragma once

#include <string_view>

namespace peridotgrade {

/// The schema of the body of `POST /operator/intents`, which `peridotctl intent` sends.
std::string_view intentsSchema();

} // namespace peridotgrade
