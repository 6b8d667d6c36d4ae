// The model router for each placement policy.
#include "model_router_impl.h"
#include "peridotgrade/core/policy/prefill_first_policy.h"
#include "peridotgrade/core/policy/two_choice_policy.h"

namespace peridotgrade {

template class ModelRouter<TwoChoicePolicy>;
template class ModelRouter<PrefillFirstPolicy>;

} // namespace peridotgrade
