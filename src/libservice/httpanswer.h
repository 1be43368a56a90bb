// Answers of clients that send a call once more if a kept connection breaks.
#pragma once

#include <cstdint>

#include "asiotypes.h"

namespace MangoCourse {

struct HttpAnswer {
    HttpResponse response;
    // The call was sent before, on a connection that broke without an answer. That attempt may have been carried out, or may still be, whatever this
    // answer says.
    bool hasUnansweredAttempt = false;
    // Number of the connection that the answer came on, unique in the process.
    std::uint64_t connection = 0;
};

}
