// Cost of a decision on a tenant's quota.
#pragma once

namespace peridotgrade::bench {

/// Time of a decision by the number of tenants: from the balance, and with a question to an account at the
/// same entry.
void measureQuotas();

} // namespace peridotgrade::bench
