// The steps of one division of an account's limit.
#pragma once

#include <vector>

#include "quotaamounts_pvt.h"

namespace MangoCourse {

// A bound of what a pool may have running, as long as its owner has not applied a later one.
struct QuotaBound {
    std::int64_t number = 0;
    Amounts amounts{};
};

struct QuotaPool {
    std::vector<QuotaBound> bounds;
    Amounts share{};
    Amounts running{};
    Amounts wanted{};
    Amounts largest{};
    // The pool is in the stored division.
    bool isListed = false;
    // Since when its largest waiting item waits for its turn, and since when the share has been large enough for it.
    TimePoint waitingSince{};
    TimePoint coveredSince{};
};

// One pool in the division of one account.
struct QuotaRow {
    const ServiceId *pool = nullptr;
    QuotaPool *state = nullptr;
    bool isConfigured = false;
    bool hasTurn = false;
    // What the largest waiting item needs, and what the pool wants, at most the limit.
    Amounts needed{};
    Amounts wanted{};
    Amounts target{};
    Amounts share{};
    // QuotaBound of what the pool may have running.
    Amounts held{};
};

// Divides one limit between the pools, regardless of what they hold.
class QuotaTargets
{
public:
    QuotaTargets(std::vector<QuotaRow> &rows, const Amounts &limit)
        : rows(rows)
        , limit(limit)
    {
    }

    // Returns true if some largest item gets no room, so that the turns have to go on.
    bool giveTurns(TimePoint now);
    void divide();

private:
    Amounts grant(const QuotaRow &row, double level) const;
    bool isWithinLimit(double level) const;
    void spreadRest();

    std::vector<QuotaRow> &rows;
    const Amounts &limit;
};

// Decides which shares change on the way to the targets.
class ShareUpdate
{
public:
    ShareUpdate(std::vector<QuotaRow> &rows, const Amounts &limit)
        : rows(rows)
        , limit(limit)
    {
    }

    // Returns true if a pool wants more than its share and is to get more.
    bool isAnyShort() const;
    // Returns true if a part of the limit is in no share.
    bool hasUndividedPart() const;
    void lower();
    // Lowers each share to what the other pools leave free of the limit. It has an effect only after the limit has been lowered.
    void makeRoomForExcess(const Amounts &divided);
    void raise();

private:
    bool isShort(const QuotaRow &row) const;

    std::vector<QuotaRow> &rows;
    const Amounts &limit;
};

}
