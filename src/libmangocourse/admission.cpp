// Models the pool as a fluid that drains at the rate of its capacity.
#include <mangocourse/admission.h>

#include <algorithm>
#include <cmath>
#include <deque>

#include <mangocourse/limits.h>

#include <xxhash.h>

namespace MangoCourse {

namespace {

using std::chrono::milliseconds;

// Part of the capacity that items can use in spite of gaps.
constexpr double packingEfficiency = 0.85;
// Refuses jobs that the pool, with its late work, would take longer for than this multiple of their objective. In the burst tests, 1 leaves room unused and 3
// accepts more jobs that end too late to be of use.
constexpr double backlogFactor = 1.5;
// A pool that has queued for less is not taken for full.
constexpr milliseconds minQueueingTime{100};
// Time from a gateway's admission until the owner counts the job: the append and the owner's read.
constexpr milliseconds admissionDelay{50};
constexpr milliseconds maxRetryAfter{10'000};
// Callers that are refused together return over this many seconds.
constexpr std::uint64_t retrySpreadSeconds = 3;

milliseconds toMilliseconds(double value)
{
    return milliseconds(static_cast<std::int64_t>(std::clamp(value, 0.0, static_cast<double>(maxTimeSpan.count()))));
}

milliseconds computeRetryAfter(const JobId &id, milliseconds wait)
{
    const std::uint64_t spread = XXH3_64bits(id.value.data(), id.value.size()) % retrySpreadSeconds;
    const auto seconds = std::chrono::floor<std::chrono::seconds>(std::min(wait, maxRetryAfter)) + std::chrono::seconds(1 + spread);
    return std::min<milliseconds>(seconds, maxRetryAfter);
}

}

std::string_view toString(AdmissionReason reason)
{
    constexpr std::string_view names[] = {"exempt", "no-view", "old-view", "no-queueing", "just-begun", "room", "in-time", "late", "beyond-rate"};
    return names[static_cast<std::size_t>(reason)];
}

std::int64_t scarceWork(const WorkAmount &work, const Resources &capacity, bool isMemoryScarce)
{
    if (!isMemoryScarce || capacity.memory <= 0) {
        return work.cpu;
    }
    // A thousandth of a core for a second is a core-ms.
    const double coreMs = static_cast<double>(work.memory) * static_cast<double>(capacity.cpu) / static_cast<double>(capacity.memory);
    return static_cast<std::int64_t>(std::min(coreMs, static_cast<double>(maxReportedWork)));
}

JobDemand JobDemand::create(const AcceptedJob &job)
{
    const JobTerms terms = job.terms.value_or(JobTerms{});
    JobDemand demand;
    demand.id = job.id;
    demand.queue = job.queue;
    demand.service = job.service;
    demand.account = job.account;
    demand.priority = terms.priority;
    demand.isExempt = job.spec.recurrence.count > 0;
    double cpu = 0;
    double memory = 0;
    std::vector<milliseconds> ends;
    for (const StepSpec &step : job.spec.steps) {
        demand.isExempt = demand.isExempt || step.isLongRunning;
        const double seconds = std::chrono::duration<double>(step.estimate).count() * step.count;
        const std::int64_t reservedCpu = step.isBestEffort ? 0 : step.resources.cpu;
        cpu += static_cast<double>(reservedCpu) * seconds;
        memory += static_cast<double>(step.resources.memory) * seconds;
        if (step.dependsOn.empty()) {
            demand.firstSteps += Resources{reservedCpu * step.count, step.resources.memory * step.count, step.resources.accelerators * step.count};
        }
        milliseconds start{};
        for (const std::int32_t earlier : step.dependsOn) {
            start = std::max(start, ends[static_cast<std::size_t>(earlier)]);
        }
        ends.push_back(start + step.estimate);
        demand.chain = std::max(demand.chain, ends.back());
    }
    const auto bounded = [](double amount) {
        return static_cast<std::int64_t>(std::min(amount, static_cast<double>(maxReportedWork)));
    };
    demand.work = WorkAmount{bounded(cpu), bounded(memory)};
    demand.objective = toMilliseconds(terms.slackFactor * static_cast<double>(demand.chain.count())) + terms.targetLatency;
    return demand;
}

class AdmissionControl::Private
{
public:
    struct Admitted {
        TimePoint at{};
        std::int64_t work = 0;
        Resources firstSteps;
    };

    struct PoolView {
        PoolLoad load;
        TimePoint receivedAt{};
        // What this gateway has admitted and the load does not contain.
        std::deque<Admitted> admitted;
    };

    std::map<ServiceId, PoolView> pools;
    TimePoint currentAsOf{};

    AdmissionDecision decide(const JobDemand &demand, TimePoint now, PoolView &view) const;
};

AdmissionDecision AdmissionControl::Private::decide(const JobDemand &demand, TimePoint now, PoolView &view) const
{
    const PoolLoad &load = view.load;
    AdmissionDecision decision;
    decision.viewAge = std::chrono::duration_cast<milliseconds>(std::max(Duration::zero(), now - view.receivedAt));
    const auto admit = [&decision](AdmissionReason reason) {
        decision.reason = reason;
        return decision;
    };
    if (!load.isQueueing) {
        return admit(now - this->currentAsOf > maxLoadAge ? AdmissionReason::OldView : AdmissionReason::NoQueueing);
    }
    if (decision.viewAge > maxLoadAge) {
        return admit(AdmissionReason::OldView);
    }
    const auto ratio = load.ratios.find(demand.queue);
    const RunTimeRatio ratios = ratio == load.ratios.end() ? RunTimeRatio{} : ratio->second;
    const auto ownWork = static_cast<std::int64_t>(static_cast<double>(scarceWork(demand.work, load.capacity, load.isMemoryScarce)) * ratios.mean);
    Resources room = load.free;
    double admittedSince = 0;
    for (const Admitted &admitted : view.admitted) {
        admittedSince += static_cast<double>(admitted.work);
        room -= admitted.firstSteps;
    }
    const Admitted counted{now, ownWork, demand.firstSteps};
    if (load.queueingFor + decision.viewAge < minQueueingTime || load.capacity.cpu <= 0) {
        view.admitted.push_back(counted);
        return admit(AdmissionReason::JustBegun);
    }
    if (room.covers(demand.firstSteps)) {
        view.admitted.push_back(counted);
        return admit(AdmissionReason::Room);
    }
    const bool isBeyondRate = !demand.account.isEmpty() && load.accountsBeyondRate.contains(demand.account);
    auto ahead = static_cast<double>(load.lateRunning);
    for (const auto &[priority, work] : load.workAhead) {
        ahead += priority <= demand.priority || isBeyondRate ? static_cast<double>(work) : 0.0;
    }
    // Core-ms per ms.
    const double rate = packingEfficiency * static_cast<double>(load.capacity.cpu) / 1000.0;
    const auto age = static_cast<double>(decision.viewAge.count());
    // The other gateways go on admitting as they did when the load was made, and the pool goes on draining.
    const double arrived = std::max(admittedSince, static_cast<double>(load.inflow) * age / 1000.0);
    ahead = std::max(ahead + arrived - rate * age, admittedSince);
    const milliseconds chain = toMilliseconds(static_cast<double>(demand.chain.count()) * ratios.median);
    const milliseconds drain = toMilliseconds((ahead + static_cast<double>(ownWork)) / rate);
    decision.drainTime = toMilliseconds(ahead / rate);
    decision.expectedEnd = std::max(chain, drain);
    // A job that is accepted and becomes late waits behind all others, so the late ones need a share of the capacity, too.
    const milliseconds drainOfAll = toMilliseconds((ahead + static_cast<double>(load.lateWaiting + ownWork)) / rate);
    if (decision.expectedEnd <= demand.objective && drainOfAll <= toMilliseconds(backlogFactor * static_cast<double>(demand.objective.count()))) {
        view.admitted.push_back(counted);
        return admit(AdmissionReason::InTime);
    }
    decision.isAdmitted = false;
    decision.reason = isBeyondRate ? AdmissionReason::BeyondRate : AdmissionReason::Late;
    // A caller that could not be served in time even if it came back as soon as there is capacity is not to compete with those that still can.
    const milliseconds soonest = computeRetryAfter(demand.id, std::max(milliseconds::zero(), decision.expectedEnd - demand.objective));
    const bool canStillBeInTime = soonest + std::max(chain, drain - decision.drainTime) <= demand.objective;
    decision.retryAfter = canStillBeInTime ? soonest : computeRetryAfter(demand.id, std::max(decision.drainTime, drainOfAll));
    return decision;
}

AdmissionControl::AdmissionControl()
    : d(std::make_unique<Private>())
{
}

AdmissionControl::~AdmissionControl() = default;

void AdmissionControl::setLoad(const PoolLoad &load, TimePoint receivedAt)
{
    Private::PoolView &view = this->d->pools[load.service];
    const bool isNewer = std::pair(load.token, load.number) > std::pair(view.load.token, view.load.number);
    if (!isNewer && !view.load.service.isEmpty()) {
        return;
    }
    view.load = load;
    view.receivedAt = receivedAt;
    std::erase_if(view.admitted, [receivedAt](const Private::Admitted &admitted) {
        return admitted.at < receivedAt - admissionDelay;
    });
}

void AdmissionControl::setCurrentAsOf(TimePoint asOf)
{
    this->d->currentAsOf = asOf;
}

void AdmissionControl::reset()
{
    this->d->pools.clear();
}

AdmissionDecision AdmissionControl::decide(const JobDemand &demand, TimePoint now)
{
    AdmissionDecision decision;
    const auto found = this->d->pools.find(demand.service);
    if (demand.isExempt) {
        decision.reason = AdmissionReason::Exempt;
    } else if (found != this->d->pools.end()) {
        decision = this->d->decide(demand, now, found->second);
    } else {
        const bool isCurrent = this->d->currentAsOf != TimePoint{} && now - this->d->currentAsOf <= maxLoadAge;
        decision.reason = isCurrent ? AdmissionReason::NoQueueing : AdmissionReason::NoView;
    }
    return decision;
}

}
