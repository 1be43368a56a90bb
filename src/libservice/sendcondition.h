// Condition on the connection that a call is sent over.
#pragma once

#include <functional>

#include <mangocourse/clock.h>

namespace MangoCourse {

// Returns true if a call may be written now to a connection that was opened at the given time. Empty if it may go over any connection.
using SendCondition = std::function<bool(TimePoint connectionOpenedAt)>;

}
