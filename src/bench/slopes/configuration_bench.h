// Slopes of the configuration, the claims and the VM list: bytes, memory, time.
#pragma once

namespace peridotgrade::bench {

/// Prints memory of the fold by size, time of one change by size, and the sizes of the records in the log.
void measureConfiguration();

} // namespace peridotgrade::bench
