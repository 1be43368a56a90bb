// Resources in records of the plan stream.
#pragma once

#include <nlohmann/json.hpp>

#include <mangocourse/job.h>

namespace MangoCourse {

nlohmann::json toJson(const Resources &resources);
// Throws a standard exception if the value has another type or is out of range.
Resources resourcesFromJson(const nlohmann::json &json);

}
