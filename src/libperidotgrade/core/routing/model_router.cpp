// Instantiation of the model router for the default placement policy.
#include "model_router_impl.h"
#include "peridotgrade/core/policy/two_choice_policy.h"

namespace peridotgrade {

template class ModelRouter<TwoChoicePolicy>;

} // namespace peridotgrade
