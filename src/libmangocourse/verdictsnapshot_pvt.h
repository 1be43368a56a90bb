// The snapshot form of a VerdictWindow: [id, offset, refusal], oldest first.
#pragma once

#include "record_pvt.h"
#include "verdictwindow_pvt.h"

namespace MangoCourse {

inline nlohmann::json verdictsToJson(const VerdictWindow &window)
{
    nlohmann::json all = nlohmann::json::array();
    for (const RecordId &id : window.idsOldestFirst()) {
        const std::optional<RecordVerdict> verdict = window.find(id);
        all.push_back({id.value, verdict->offset, static_cast<int>(verdict->refusal)});
    }
    return all;
}

// Throws the library's exception where the text has another shape.
inline void verdictsFromJson(const nlohmann::json &json, VerdictWindow &window)
{
    for (const nlohmann::json &entry : json) {
        const RecordVerdict verdict{entry.at(1).get<Offset>(), static_cast<Refusal>(entry.at(2).get<int>())};
        window.recordVerdict(RecordId{entry.at(0).get<std::string>()}, verdict);
    }
}

}
