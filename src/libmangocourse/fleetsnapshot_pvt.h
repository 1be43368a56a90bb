// The snapshot form of FleetState.
#pragma once

#include "fleetstate_pvt.h"
#include "record_pvt.h"

namespace MangoCourse {

// Returns everything that the fold needs to go on, the remembered verdicts included.
nlohmann::json fleetToJson(const FleetState::Private &state);

// Fills an empty state, or returns ErrorCode::Decode.
Result<void> fleetFromJson(std::string_view text, FleetState::Private &state);

}
