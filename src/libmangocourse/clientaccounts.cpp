// Lookup of accounts by key.
#include <mangocourse/clientaccounts.h>

#include <cmath>
#include <random>
#include <unordered_map>
#include <unordered_set>

#include <mangocourse/limits.h>
#include <xxhash.h>

namespace MangoCourse {

namespace {

// Compares all bytes whatever the first difference is.
bool isEqualInConstantTime(std::string_view one, std::string_view other)
{
    if (one.size() != other.size()) {
        return false;
    }
    unsigned difference = 0;
    for (std::size_t index = 0; index < one.size(); ++index) {
        difference |= static_cast<unsigned>(static_cast<unsigned char>(one[index]) ^ static_cast<unsigned char>(other[index]));
    }
    return difference == 0;
}

std::uint64_t drawSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

}

class ClientAccounts::Private
{
public:
    std::vector<ClientAccount> accounts;
    std::unordered_map<AccountId, std::size_t> indexById;
    // Hash of the key to account and key. The seed keeps callers from choosing keys that collide.
    std::unordered_multimap<std::uint64_t, std::pair<std::size_t, std::size_t>> indexByHash;
    std::uint64_t seed = drawSeed();

    std::uint64_t hash(std::string_view key) const
    {
        return XXH3_64bits_withSeed(key.data(), key.size(), this->seed);
    }
    const ClientAccount *findByKey(std::string_view key) const
    {
        const auto [first, last] = this->indexByHash.equal_range(this->hash(key));
        for (auto entry = first; entry != last; ++entry) {
            const ClientAccount &account = this->accounts[entry->second.first];
            if (isEqualInConstantTime(account.keys[entry->second.second], key)) {
                return &account;
            }
        }
        return nullptr;
    }
};

ClientAccounts::ClientAccounts(std::shared_ptr<const Private> impl)
    : d(std::move(impl))
{
}

Result<ClientAccounts> ClientAccounts::create(std::vector<ClientAccount> accounts)
{
    const auto impl = std::make_shared<Private>();
    impl->accounts = std::move(accounts);
    for (std::size_t index = 0; index < impl->accounts.size(); ++index) {
        const ClientAccount &account = impl->accounts[index];
        const std::string path = "accounts[" + std::to_string(index) + "].";
        if (account.id.isEmpty()) {
            return makeError(ErrorCode::InvalidArgument, "must not be empty", path + "id");
        }
        if (!impl->indexById.emplace(account.id, index).second) {
            return makeError(ErrorCode::InvalidArgument, "occurs twice", path + "id");
        }
        if (!std::isfinite(account.weight) || account.weight < 0) {
            return makeError(ErrorCode::InvalidArgument, "must be a number of at least 0", path + "weight");
        }
        for (const std::int64_t amount : {account.limit.cpu, account.limit.memory, account.limit.accelerators}) {
            if (amount < 0 || amount > maxResourceAmount) {
                return makeError(ErrorCode::InvalidArgument, "must be from 0 to " + std::to_string(maxResourceAmount), path + "limit");
            }
        }
        for (std::size_t number = 0; number < account.keys.size(); ++number) {
            const std::string field = path + "keys[" + std::to_string(number) + "]";
            if (account.keys[number].empty()) {
                return makeError(ErrorCode::InvalidArgument, "must not be empty", field);
            }
            const ClientAccount *holder = impl->findByKey(account.keys[number]);
            if (holder != nullptr && holder != &account) {
                return makeError(ErrorCode::InvalidArgument, "belongs to another account, too", field);
            }
            if (holder == nullptr) {
                impl->indexByHash.emplace(impl->hash(account.keys[number]), std::pair(index, number));
            }
        }
    }
    return ClientAccounts(impl);
}

const ClientAccount *ClientAccounts::findByKey(std::string_view key) const
{
    return this->d->findByKey(key);
}

const ClientAccount *ClientAccounts::find(const AccountId &id) const
{
    const auto found = this->d->indexById.find(id);
    return found == this->d->indexById.end() ? nullptr : &this->d->accounts[found->second];
}

const std::vector<ClientAccount> &ClientAccounts::all() const
{
    return this->d->accounts;
}

}
