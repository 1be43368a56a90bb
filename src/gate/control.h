// Follows the keeper: applies fleet records and instance listing deltas, and publishes new views.
#pragma once

#include <stop_token>

#include "gatestate.h"

namespace MangoCourse {

// Long-polls the keepers in the order of the settings, applies their replies and publishes views until stop is requested. Skips a keeper
// whose offset is behind this gate's, so that the view never goes back to an older state.
Result<void> followKeeper(const std::stop_token &stop, GateState &state);

}
