// Costs of the configuration by size (bytes, memory, time) and the sizes of log records.
#pragma once

namespace peridotgrade::bench {

/// Prints memory, change time, and snapshot size and time of a ConfigurationReplica by number of engines, and
/// the sizes of configuration and claim records in the log.
void measureConfiguration();

} // namespace peridotgrade::bench
