// Callers' connections: one coroutine each.
#pragma once

#include "asiotypes.h"
#include "gatestate.h"

namespace MangoCourse {

// Serves one caller's connection until either side ends it.
net::awaitable<void> serveCaller(GateState &state, Serving &serving, tcp::socket socket);

}
