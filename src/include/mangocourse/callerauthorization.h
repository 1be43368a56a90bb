// Decides which client account a caller's request has, and which jobs the caller may use.
#pragma once

#include <chrono>
#include <optional>
#include <string_view>

#include <mangocourse/fleetconfig.h>

namespace MangoCourse {

// Ages of the configuration up to which a gateway may act on it, counted from the last confirmation that no newer one has been published.
struct ConfigAgeBounds {
    // Submissions are accepted, and keys denied, by configurations of at most this age.
    std::chrono::milliseconds confirmation{2000};
    // Known keys are accepted by configurations of at most this age.
    std::chrono::milliseconds revocation{5000};
};

// A caller whose request is allowed.
struct CallerIdentity {
    // The configuration has client accounts, so that jobs belong to them.
    bool hasAccounts = false;
    // Empty on a public queue, or without accounts.
    AccountId account;
};

enum class CallerVerdict {
    Allowed,
    // The configuration is confirmed and does not know the key.
    Denied,
    // The configuration is too old to tell.
    Unconfirmed,
};

struct CallerAuthorization {
    CallerVerdict verdict = CallerVerdict::Unconfirmed;
    // Of the caller, if the configuration knows the key or none is needed.
    CallerIdentity caller;
    // Why the request is not allowed. Never contains the key.
    const char *reason = "";
};

// Decides about a request to the queue of the configuration. `configAge`: absent if the configuration does not expire. Submissions additionally need a
// configuration that is confirmed, whatever their key is.
CallerAuthorization authorizeCaller(const FleetConfig &config, const QueueConfig &queue, std::string_view apiKey,
    std::optional<std::chrono::nanoseconds> configAge, const ConfigAgeBounds &bounds);

// Returns true if the caller may read, cancel and repeat a job of the account; a job without an account belongs to nobody. `isOfQueue`: the job was
// submitted to the queue that the request names. A public queue gives access to its own jobs only, as other queues may share its partition.
bool mayUseJob(const CallerIdentity &caller, const AccountId &owner, bool isOfQueue);

}
