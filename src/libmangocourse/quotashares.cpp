// The targets of a division, and the changes of the shares on the way to them.
#include "quotashares_pvt.h"

#include <numeric>

namespace MangoCourse {

namespace {

using std::chrono::milliseconds;

// A pool keeps what its largest waiting item needs for this long, if the items of other pools need it too.
constexpr milliseconds turnTime{2000};
// A turn in which the share does not get large enough ends after this time, because runs that hold the rest may never end.
constexpr milliseconds uncoveredTurnTime{5000};
// Differences of up to this part of the limit are not worth a new division.
constexpr std::int64_t toleratedPart = 64;
// Halvings of the interval in the search for the level of the shares.
constexpr int levelSteps = 40;

bool covers(const Amounts &amounts, const Amounts &demand, const Amounts &limit)
{
    for (std::size_t kind = 0; kind < resourceKinds; ++kind) {
        if (limit[kind] > 0 && amounts[kind] < demand[kind]) {
            return false;
        }
    }
    return true;
}

// Gives each unmet demand the same part of `rest` until it is met; returns what remains.
std::int64_t fillEvenly(std::vector<std::pair<std::int64_t, std::int64_t *>> unmet, std::int64_t rest)
{
    std::sort(unmet.begin(), unmet.end(), [](const auto &left, const auto &right) {
        return left.first < right.first;
    });
    auto count = static_cast<std::int64_t>(unmet.size());
    for (auto &[demand, target] : unmet) {
        const std::int64_t given = std::min(demand, rest / count--);
        *target += given;
        rest -= given;
    }
    return rest;
}

// Sums one amount of each row.
template<typename Amount>
std::int64_t sumOf(const std::vector<QuotaRow> &rows, Amount amount)
{
    return std::accumulate(rows.begin(), rows.end(), std::int64_t{}, [&amount](std::int64_t sum, const QuotaRow &row) {
        return sum + amount(row);
    });
}

}

void QuotaTargets::endTurn(QuotaRow &row, TimePoint now, bool isCovered) const
{
    QuotaPool &state = *row.state;
    if (isCovered && now - state.coveredSince >= turnTime) {
        state.waitingSince = now;
        state.pausedUntil = now + turnTime;
    }
    if (isCovered) {
        state.uncoveredTurnSince = TimePoint{};
    } else if (state.uncoveredTurnSince != TimePoint{} && now - state.uncoveredTurnSince >= uncoveredTurnTime) {
        state.waitingSince = now;
        state.uncoveredTurnSince = TimePoint{};
        state.pausedUntil = now + uncoveredTurnTime;
    }
    row.isPaused = now < state.pausedUntil && this->needsTurn(row);
}

bool QuotaTargets::needsTurn(const QuotaRow &row) const
{
    const auto pools = static_cast<std::int64_t>(this->rows.size());
    for (std::size_t kind = 0; kind < resourceKinds; ++kind) {
        if (this->limit[kind] > 0 && row.needed[kind] > this->limit[kind] / pools) {
            return true;
        }
    }
    return false;
}

bool QuotaTargets::giveTurns(TimePoint now)
{
    const bool isContended = !this->isWithinLimit(1.0);
    std::vector<QuotaRow *> order;
    for (QuotaRow &row : this->rows) {
        QuotaPool &state = *row.state;
        if (row.needed == Amounts{}) {
            state.waitingSince = TimePoint{};
            state.coveredSince = TimePoint{};
            state.uncoveredTurnSince = TimePoint{};
            continue;
        }
        state.waitingSince = state.waitingSince == TimePoint{} ? now : state.waitingSince;
        const bool isCovered = covers(state.share, row.needed, this->limit);
        state.coveredSince = !isCovered ? TimePoint{} : state.coveredSince == TimePoint{} ? now : state.coveredSince;
        if (isContended) {
            this->endTurn(row, now, isCovered);
        }
        order.push_back(&row);
    }
    const auto isOutOfTurn = [now](const QuotaRow *row) {
        return row->state->coveredSince == TimePoint{} || now - row->state->coveredSince >= turnTime;
    };
    std::stable_sort(order.begin(), order.end(), [&isOutOfTurn](const QuotaRow *left, const QuotaRow *right) {
        return std::pair(isOutOfTurn(left), left->state->waitingSince) < std::pair(isOutOfTurn(right), right->state->waitingSince);
    });
    Amounts given{};
    bool isReviewNeeded = false;
    for (QuotaRow *row : order) {
        Amounts sum = given;
        for (std::size_t kind = 0; kind < resourceKinds; ++kind) {
            sum[kind] += row->needed[kind];
        }
        row->hasTurn = !row->isPaused && covers(this->limit, sum, this->limit);
        given = row->hasTurn ? sum : given;
        QuotaPool &state = *row->state;
        if (!row->hasTurn || !isContended) {
            state.uncoveredTurnSince = TimePoint{};
        } else if (state.coveredSince == TimePoint{} && state.uncoveredTurnSince == TimePoint{}) {
            state.uncoveredTurnSince = now;
        }
        isReviewNeeded = isReviewNeeded || !row->hasTurn || (isContended && this->needsTurn(*row));
    }
    return isReviewNeeded;
}

Amounts QuotaTargets::grant(const QuotaRow &row, double level) const
{
    double dominant = 0;
    for (std::size_t kind = 0; kind < resourceKinds; ++kind) {
        if (this->limit[kind] > 0) {
            dominant = std::max(dominant, static_cast<double>(row.wanted[kind]) / static_cast<double>(this->limit[kind]));
        }
    }
    const double part = dominant <= level ? 1.0 : level / dominant;
    Amounts amounts{};
    for (std::size_t kind = 0; kind < resourceKinds; ++kind) {
        amounts[kind] = part >= 1.0 ? row.wanted[kind] : static_cast<std::int64_t>(part * static_cast<double>(row.wanted[kind]));
    }
    return row.hasTurn ? largerOf(amounts, row.needed) : amounts;
}

bool QuotaTargets::isWithinLimit(double level) const
{
    Amounts sum{};
    for (const QuotaRow &row : this->rows) {
        const Amounts amounts = this->grant(row, level);
        for (std::size_t kind = 0; kind < resourceKinds; ++kind) {
            sum[kind] += amounts[kind];
        }
    }
    return covers(this->limit, sum, this->limit);
}

void QuotaTargets::spreadRest()
{
    for (std::size_t kind = 0; kind < resourceKinds; ++kind) {
        if (this->limit[kind] == 0) {
            continue;
        }
        std::int64_t rest = this->limit[kind];
        std::vector<std::pair<std::int64_t, std::int64_t *>> unmet;
        std::vector<std::pair<std::int64_t, std::int64_t *>> configured;
        for (QuotaRow &row : this->rows) {
            rest -= row.target[kind];
            if (row.wanted[kind] > row.target[kind]) {
                unmet.emplace_back(row.wanted[kind] - row.target[kind], &row.target[kind]);
            }
            if (row.isConfigured) {
                configured.emplace_back(this->limit[kind], &row.target[kind]);
            }
        }
        // What no pool wants now lets the first items of a pool start at once.
        fillEvenly(std::move(configured), fillEvenly(std::move(unmet), rest));
    }
}

void QuotaTargets::fill()
{
    double level = 1.0;
    if (!this->isWithinLimit(level)) {
        double tooHigh = level;
        level = 0;
        for (int step = 0; step < levelSteps; ++step) {
            const double middle = (level + tooHigh) / 2;
            (this->isWithinLimit(middle) ? level : tooHigh) = middle;
        }
    }
    for (QuotaRow &row : this->rows) {
        row.target = this->grant(row, level);
    }
}

void QuotaTargets::divide()
{
    this->fill();
    bool isReduced = false;
    for (QuotaRow &row : this->rows) {
        if (!row.isPaused || covers(row.target, row.needed, this->limit)) {
            continue;
        }
        // A part of what the largest item needs would lie idle.
        const QuotaPool &state = *row.state;
        for (std::size_t kind = 0; kind < resourceKinds; ++kind) {
            const std::int64_t running = std::min(state.running[kind], row.wanted[kind]);
            row.wanted[kind] = std::clamp(state.wanted[kind] - state.largest[kind], running, row.wanted[kind]);
        }
        isReduced = true;
    }
    if (isReduced) {
        this->fill();
    }
    this->spreadRest();
}

bool ShareUpdate::fitsLimit(std::size_t kind) const
{
    const std::int64_t sum = sumOf(this->rows, [kind](const QuotaRow &row) {
        return row.wanted[kind];
    });
    return sum <= this->limit[kind];
}

bool ShareUpdate::isShort(const QuotaRow &row) const
{
    if (row.hasTurn && !covers(row.share, row.needed, this->limit)) {
        return true;
    }
    for (std::size_t kind = 0; kind < resourceKinds; ++kind) {
        const std::int64_t gain = std::min(row.target[kind], row.wanted[kind]) - row.share[kind];
        // Without contention nothing else would ever give the pool the small rest that it waits for.
        if (this->limit[kind] > 0 && gain > 0 && (gain > this->limit[kind] / toleratedPart || this->fitsLimit(kind))) {
            return true;
        }
    }
    return false;
}

bool ShareUpdate::isAnyShort() const
{
    return std::any_of(this->rows.begin(), this->rows.end(), [this](const QuotaRow &row) {
        return this->isShort(row);
    });
}

bool ShareUpdate::hasUndividedPart() const
{
    for (std::size_t kind = 0; kind < resourceKinds; ++kind) {
        const std::int64_t held = sumOf(this->rows, [kind](const QuotaRow &row) {
            return row.held[kind];
        });
        if (this->limit[kind] > 0 && this->limit[kind] - held > this->limit[kind] / toleratedPart) {
            return true;
        }
    }
    return false;
}

void ShareUpdate::lower()
{
    for (QuotaRow &row : this->rows) {
        for (std::size_t kind = 0; kind < resourceKinds; ++kind) {
            row.share[kind] = std::min(row.share[kind], row.target[kind]);
        }
    }
}

void ShareUpdate::makeRoomForExcess(const Amounts &divided)
{
    for (std::size_t kind = 0; kind < resourceKinds; ++kind) {
        if (this->limit[kind] == 0) {
            continue;
        }
        const auto boundOf = [kind, &divided](const QuotaRow &row) {
            // Before its first division a limit is in force through the equal parts that the owners act on, whatever earlier configurations allowed.
            return divided[kind] == 0 ? std::max(row.share[kind], row.state->running[kind]) : row.held[kind];
        };
        const std::int64_t sum = sumOf(this->rows, boundOf);
        for (QuotaRow &row : this->rows) {
            const std::int64_t room = this->limit[kind] - (sum - boundOf(row));
            row.share[kind] = std::min(row.share[kind], std::max<std::int64_t>(0, room));
        }
    }
}

void ShareUpdate::raise()
{
    for (std::size_t kind = 0; kind < resourceKinds; ++kind) {
        if (this->limit[kind] == 0) {
            continue;
        }
        std::int64_t held = sumOf(this->rows, [kind](const QuotaRow &row) {
            return row.held[kind];
        });
        const auto raiseRow = [&](QuotaRow &row) {
            const std::int64_t room = this->limit[kind] - (held - row.held[kind]);
            const std::int64_t raised = std::min(row.target[kind], room);
            const bool isWorthwhile = raised >= std::min(row.target[kind], row.wanted[kind]) || raised - row.share[kind] > this->limit[kind] / toleratedPart
                || (row.share[kind] < row.needed[kind] && raised >= row.needed[kind]);
            if (raised <= row.share[kind] || !isWorthwhile) {
                return;
            }
            row.share[kind] = raised;
            held += std::max<std::int64_t>(0, raised - row.held[kind]);
            row.held[kind] = std::max(row.held[kind], raised);
        };
        for (QuotaRow &row : this->rows) {
            if (row.hasTurn) {
                raiseRow(row);
            }
        }
        for (QuotaRow &row : this->rows) {
            if (row.wanted[kind] > row.share[kind]) {
                raiseRow(row);
            }
        }
        std::for_each(this->rows.begin(), this->rows.end(), raiseRow);
    }
}

}
