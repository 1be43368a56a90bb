// Authorization of callers.
#include <mangocourse/callerauthorization.h>

namespace MangoCourse {

CallerAuthorization authorizeCaller(const FleetConfig &config, const QueueConfig &queue, std::string_view apiKey,
    std::optional<std::chrono::nanoseconds> configAge, const ConfigAgeBounds &bounds)
{
    if (!config.accounts) {
        return CallerAuthorization{CallerVerdict::Allowed, {}, ""};
    }
    if (queue.isPublic) {
        return CallerAuthorization{CallerVerdict::Allowed, CallerIdentity{true, {}}, ""};
    }
    const ClientAccount *account = config.accounts->findByKey(apiKey);
    if (account != nullptr) {
        if (configAge && *configAge > bounds.revocation) {
            return CallerAuthorization{CallerVerdict::Unconfirmed, CallerIdentity{true, account->id}, "the configuration is too old to accept keys"};
        }
        return CallerAuthorization{CallerVerdict::Allowed, CallerIdentity{true, account->id}, ""};
    }
    if (configAge && *configAge > bounds.confirmation) {
        return CallerAuthorization{CallerVerdict::Unconfirmed, {}, "the configuration is too old to deny keys"};
    }
    return CallerAuthorization{CallerVerdict::Denied, {}, apiKey.empty() ? "the request has no key" : "the key is unknown"};
}

bool mayUseJob(const CallerIdentity &caller, const AccountId &owner, bool isOfQueue)
{
    if (!caller.hasAccounts || owner.isEmpty()) {
        return true;
    }
    return caller.account.isEmpty() ? isOfQueue : caller.account == owner;
}

}
