// Snapshots of FleetState as JSON.
#pragma once

#include "fleetstate_pvt.h"
#include "record_pvt.h"

namespace MangoCourse {

// Serializes the whole state, with the stored verdicts, so that a reader can continue from the snapshot.
nlohmann::json fleetToJson(const FleetState::Private &state);

// Restores a snapshot into an empty state, or returns ErrorCode::Decode.
Result<void> fleetFromJson(std::string_view text, FleetState::Private &state);

}
