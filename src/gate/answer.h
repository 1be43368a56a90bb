// Responses to callers.
#pragma once

#include <chrono>
#include <string>
#include <string_view>

#include <mangocourse/verdict.h>

#include "asiotypes.h"

namespace MangoCourse {

// Response to a caller, for a success or a failure.
struct CallerResponse {
    http::status status = http::status::ok;
    Verdict verdict = Verdict::NotRun;
    std::string body;
    std::string contentType = "application/json";
    std::chrono::milliseconds retryAfter{};
    bool closeConnection = false;
};

// Builds the JSON response of a request that has no result: verdict, reason and, if `retryAfter` is positive, retryAfter in seconds.
CallerResponse failureResponse(http::status status, Verdict verdict, std::string_view reason, std::chrono::milliseconds retryAfter = {});

// Converts the response to an HTTP message.
HttpResponse toHttpResponse(const CallerResponse &answer, const std::string &requestId, bool keepAlive);

}
