// Condition on the connection that a call is sent over.
#pragma once

#include <functional>

#include <mangocourse/clock.h>

namespace MangoCourse {

enum class SendVerdict {
    Send,
    // The call may be sent once the server has shown on this connection that it is the one that the call is for.
    Identify,
    Withhold,
};

// Says whether a call may be written now to a connection that was opened at the given time. Empty if it may go over any connection.
using SendCondition = std::function<SendVerdict(TimePoint connectionOpenedAt)>;

}
