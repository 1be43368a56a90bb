// Serves callers' connections, one coroutine per connection.
#pragma once

#include "asiotypes.h"
#include "gatestate.h"

namespace MangoCourse {

// Serves the requests of one caller's connection until either side closes it.
net::awaitable<void> serveCaller(GateState &state, ServingThread &serving, tcp::socket socket);

}
