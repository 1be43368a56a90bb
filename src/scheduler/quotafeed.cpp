// Encoding of the divisions of the accounts' limits, and their collection from the plan stream.
#include "quotafeed.h"

#include <stdexcept>

#include "boundedjson.h"
#include "quotarecords.h"

namespace MangoCourse {

namespace {

using Json = nlohmann::json;

// A limit of which no pool has a share.
constexpr Resources unreadableLimit{1, 1, 1};

}

Json toJson(const Resources &resources)
{
    return Json::array({resources.cpu, resources.memory, resources.accelerators});
}

Resources resourcesFromJson(const Json &json)
{
    const auto amount = [&json](std::size_t kind) {
        const std::optional<std::int64_t> number = wholeNumber(json.at(kind), 0, maxWholeNumber);
        if (!number) {
            throw std::out_of_range("must be an amount of a resource");
        }
        return *number;
    };
    return Resources{amount(0), amount(1), amount(2)};
}

std::string quotaKey(const AccountId &account)
{
    return quotaKeyPrefix + account.value;
}

bool isQuotaKey(const std::string &key)
{
    return key.starts_with(quotaKeyPrefix);
}

std::string encodeQuotaDivision(const QuotaDivision &division)
{
    Json shares = Json::array();
    for (const auto &[pool, share] : division.shares) {
        Json row = Json::array({pool.value, toJson(share.share)});
        if (share.held != share.share) {
            row.push_back(toJson(share.held));
        }
        shares.push_back(std::move(row));
    }
    std::string bytes;
    Json::to_cbor(Json::array({division.number, toJson(division.limit), std::move(shares)}), nlohmann::detail::output_adapter<char>(bytes));
    return bytes;
}

Result<QuotaDivision> decodeQuotaDivision(const AccountId &account, std::string_view bytes)
{
    const std::string where = "division " + account.value;
    try {
        const Json json = parseBoundedCbor(bytes);
        const std::optional<std::int64_t> number = wholeNumber(json.at(0), 1, maxWholeNumber / 2);
        if (!number) {
            return makeError(ErrorCode::Decode, "must start with its number", where);
        }
        QuotaDivision division{account, *number, resourcesFromJson(json.at(1)), {}};
        for (const Json &row : json.at(2)) {
            const Resources share = resourcesFromJson(row.at(1));
            const Resources held = row.size() > 2 ? resourcesFromJson(row.at(2)) : share;
            division.shares.emplace(ServiceId{row.at(0).get<std::string>()}, QuotaShare{share, held});
        }
        return division;
    } catch (const std::exception &error) {
        return makeError(ErrorCode::Decode, error.what(), where);
    }
}

QuotaFeed::QuotaFeed(EventLog &log)
    : log(log)
{
}

void QuotaFeed::reset()
{
    this->pending = QuotaDivisions{};
    this->isChanged = true;
}

void QuotaFeed::apply(const StoredRecord &record)
{
    if (!isQuotaKey(record.key)) {
        return;
    }
    this->isChanged = true;
    const AccountId account{record.key.substr(std::string_view(quotaKeyPrefix).size())};
    if (record.value.empty()) {
        this->pending.byAccount.erase(account);
        return;
    }
    Result<QuotaDivision> division = decodeQuotaDivision(account, record.value);
    if (!division) {
        this->log.emit(
            "quota_unreadable", {{"account", account.value}, {"offset", record.offset}, {"reason", describe(division.error())}}, EventPriority::Essential);
        this->pending.byAccount[account] = std::make_shared<const QuotaDivision>(QuotaDivision{account, 0, unreadableLimit, {}});
        return;
    }
    this->pending.number = std::max(this->pending.number, division->number);
    this->pending.byAccount[account] = std::make_shared<const QuotaDivision>(std::move(*division));
}

void QuotaFeed::commit(std::int64_t position)
{
    this->committedPosition = position;
    if (this->isChanged) {
        this->isChanged = false;
        this->committed = std::make_shared<const QuotaDivisions>(this->pending);
    }
}

std::shared_ptr<const QuotaDivisions> QuotaFeed::divisions() const
{
    return this->committed;
}

std::int64_t QuotaFeed::position() const
{
    return this->committedPosition;
}

}
