// Callers' requests and replies, independent of the protocol.
#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>

#include <mangocourse/job.h>

#include "asiotypes.h"

namespace MangoCourse {

enum class CallerAction {
    // POST: submit a job, possibly repeated.
    Submit,
    // GET: the state of a job, or of the queue if no job is named.
    Read,
    Cancel,
};

struct CallerRequest {
    CallerAction action = CallerAction::Read;
    std::string host;
    std::string path;
    // The caller's API key; empty if there is none.
    std::string apiKey;
    // Decodes the submitted job. Called only after the queue has been found.
    std::function<Result<JobSpec>()> decodeJob;
    // Time for which the caller waits for the reply.
    std::chrono::milliseconds timeout{};
};

enum class CallerOutcome {
    Accepted,
    Cancelled,
    State,
    Pending,
    NoSuchQueue,
    NoSuchJob,
    // The queue needs a key, and the request has none that the configuration knows.
    Unauthorized,
    // The ID of the submission is that of another account's job.
    IdTaken,
    Invalid,
    // Nothing was stored and nothing will run.
    NotAccepted,
    // The request may have been stored; the caller should repeat it.
    MayBeAccepted,
    // The state is currently unknown.
    Unavailable,
};

struct CallerReply {
    CallerOutcome outcome = CallerOutcome::Unavailable;
    JobState state = JobState::Queued;
    std::size_t pending = 0;
    std::string message;
    // Delay before the caller should retry a request that was not accepted.
    std::chrono::milliseconds retryAfter{};
};

// Handles callers' requests. isReady() tells whether the service accepts further callers.
class CallerService
{
public:
    virtual ~CallerService() = default;
    virtual net::awaitable<CallerReply> handle(CallerRequest request) = 0;
    virtual bool isReady() const = 0;
};

}
