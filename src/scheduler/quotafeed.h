// The divisions of the accounts' limits, as the plan stream holds them.
#pragma once

#include <memory>
#include <string>

#include <mangocourse/quotadivision.h>

#include "eventlog.h"
#include "ports.h"

namespace MangoCourse {

// The key of an account's division starts so; the account follows.
inline constexpr const char *quotaKeyPrefix = "quota/";

std::string quotaKey(const AccountId &account);
bool isQuotaKey(const std::string &key);
std::string encodeQuotaDivision(const QuotaDivision &division);
Result<QuotaDivision> decodeQuotaDivision(const AccountId &account, std::string_view bytes);

// Collects the divisions while the stream is read. They take effect together, once the read has reached the end: then the highest number among them
// implies all lower ones.
class QuotaFeed
{
public:
    explicit QuotaFeed(EventLog &log);

    void reset();
    // Ignores records of other kinds. An account of which the record is unreadable gets nothing until the next one.
    void apply(const StoredRecord &record);
    // Call it when a read has reached the end of the stream. `position`: offset of the next record.
    void commit(std::int64_t position);

    // Returns nullptr before the first commit().
    std::shared_ptr<const QuotaDivisions> divisions() const;
    // Returns the position of the last commit(); -1 before the first.
    std::int64_t position() const;

private:
    EventLog &log;
    QuotaDivisions pending;
    bool isChanged = true;
    std::shared_ptr<const QuotaDivisions> committed;
    std::int64_t committedPosition = -1;
};

}
