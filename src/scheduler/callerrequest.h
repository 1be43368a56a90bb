// What callers ask of the scheduler, without the spelling of any protocol.
#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>

#include <mangocourse/job.h>

#include "asiotypes.h"

namespace MangoCourse {

enum class CallerAction {
    // POST: hand in a job, or hand it in again.
    Submit,
    // GET: the state of a job, or of the queue where no job is named.
    Read,
    Cancel,
};

struct CallerRequest {
    CallerAction action = CallerAction::Read;
    std::string host;
    std::string path;
    // Decoded only once the queue is known to exist.
    std::function<Result<JobSpec>()> decodeJob;
    // How long the caller waits for the answer.
    std::chrono::milliseconds timeout{};
};

enum class CallerOutcome {
    Accepted,
    Cancelled,
    State,
    Pending,
    NoSuchQueue,
    NoSuchJob,
    Invalid,
    // Nothing was stored and nothing will run.
    NotAccepted,
    // The request may have been stored; the caller should ask again.
    MayBeAccepted,
    // The state cannot be told now.
    Unavailable,
};

struct CallerReply {
    CallerOutcome outcome = CallerOutcome::Unavailable;
    JobState state = JobState::Queued;
    std::size_t pending = 0;
    std::string message;
    // When to come back, where the request was not accepted.
    std::chrono::milliseconds retryAfter{};
};

// Serves callers' requests and says whether it wants them.
class CallerService
{
public:
    virtual ~CallerService() = default;
    virtual net::awaitable<CallerReply> handle(CallerRequest request) = 0;
    virtual bool isReady() const = 0;
};

}
