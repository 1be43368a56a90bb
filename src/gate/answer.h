// What callers are told.
#pragma once

#include <chrono>
#include <string>
#include <string_view>

#include <mangocourse/verdict.h>

#include "asiotypes.h"

namespace MangoCourse {

// A request's end, good or bad.
struct CallerAnswer {
    http::status status = http::status::ok;
    Verdict verdict = Verdict::NotRun;
    std::string body;
    std::string contentType = "application/json";
    std::chrono::milliseconds retryAfter{};
    bool closes = false;
};

// Builds the JSON answer of a request without a result: verdict, reason and, where coming back helps, retryAfter in seconds.
CallerAnswer failureAnswer(http::status status, Verdict verdict, std::string_view reason, std::chrono::milliseconds retryAfter = {});

// Turns an answer into the message for the caller.
HttpResponse toResponse(const CallerAnswer &answer, const std::string &requestId, bool keepAlive);

}
