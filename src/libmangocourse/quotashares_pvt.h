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
    // Since when it has had its turn without a share that is large enough, and until when it gets no other turn.
    TimePoint uncoveredTurnSince{};
    TimePoint pausedUntil{};
};

// One pool in the division of one account.
struct QuotaRow {
    const ServiceId *pool = nullptr;
    QuotaPool *state = nullptr;
    bool isConfigured = false;
    bool hasTurn = false;
    // Its turn has ended a short while ago.
    bool isPaused = false;
    // What the largest waiting item needs, and what the pool wants, at most the limit.
    Amounts needed{};
    Amounts wanted{};
    Amounts target{};
    Amounts share{};
    // What the pool may have running: the largest of its share and of the bounds that its owner may still act on.
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

    // In its turn a pool gets at least what its largest waiting item needs. A turn is followed by a pause as long, so that the other pools get their
    // parts even if the item cannot start. Returns true if the turns have to be given again later.
    bool giveTurns(TimePoint now);
    void divide();

private:
    void endTurn(QuotaRow &row, TimePoint now, bool isCovered) const;
    // Returns true if the pool needs more for its largest waiting item than an equal part of the limit.
    bool needsTurn(const QuotaRow &row) const;
    // Sets the targets to the same fraction of the limit for all pools, at most what they want.
    void fill();
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
    // Returns true if all pools together want no more of the resource than the limit.
    bool fitsLimit(std::size_t kind) const;
    bool isShort(const QuotaRow &row) const;

    std::vector<QuotaRow> &rows;
    const Amounts &limit;
};

}
