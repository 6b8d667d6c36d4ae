// The model router for the product's placement policy.
#include "model_router_impl.h"
#include "peridotgrade/core/policy/two_choice_policy.h"

namespace peridotgrade {

template class ModelRouter<TwoChoicePolicy>;

} // namespace peridotgrade
