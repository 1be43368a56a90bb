// Following the keeper: records and list deltas in, a new view out.
#pragma once

#include <stop_token>

#include "gatestate.h"

namespace MangoCourse {

// Long-polls the keepers in the order of the settings, folds what comes and publishes views. A keeper that is behind what this gate
// has is passed over, so that nothing reverts.
Result<void> followKeeper(const std::stop_token &stop, GateState &state);

}
