// Client accounts and their API keys.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <mangocourse/job.h>

namespace MangoCourse {

// A client account as the operator configures it.
struct ClientAccount {
    AccountId id;
    // Share of a full pool relative to the other accounts, and the number of jobs per second that the account may submit.
    double weight = 1.0;
    // Bound of what the account has running on all executors together; 0 means that a resource is not limited.
    Resources limit;
    // Never to be logged or shown.
    std::vector<std::string> keys;

    bool hasLimit() const
    {
        return this->limit != Resources{};
    }
};

// The accounts of one configuration. Immutable and cheap to copy.
class ClientAccounts
{
public:
    // Returns InvalidArgument if a name is empty or occurs twice, a key is empty or belongs to two accounts, or a number is out of range. The message
    // names the account and the field, never a key.
    static Result<ClientAccounts> create(std::vector<ClientAccount> accounts);

    // Returns the account that the key belongs to, or nullptr. The time that this takes does not tell how much of the key was right.
    const ClientAccount *findByKey(std::string_view key) const;
    const ClientAccount *find(const AccountId &id) const;
    const std::vector<ClientAccount> &all() const;

private:
    class Private;
    explicit ClientAccounts(std::shared_ptr<const Private> impl);
    std::shared_ptr<const Private> d;
};

}
