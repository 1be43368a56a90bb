// The fold of a data centre's jobs stream.
#include <mangocourse/jobledger.h>

#include <array>
#include <deque>
#include <set>
#include <utility>

#include "record_pvt.h"
#include "verdictsnapshot_pvt.h"

namespace MangoCourse {

std::string_view toString(JobStatus status)
{
    static constexpr std::array<std::string_view, 6> names = {"waiting", "claimed", "finished", "cancelled", "failed", "abandoned"};
    return names.at(static_cast<std::size_t>(status));
}

NLOHMANN_JSON_SERIALIZE_ENUM(JobStatus,
    {{JobStatus::Waiting, "waiting"}, {JobStatus::Claimed, "claimed"}, {JobStatus::Finished, "finished"}, {JobStatus::Cancelled, "cancelled"},
        {JobStatus::Failed, "failed"}, {JobStatus::Abandoned, "abandoned"}})
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Job, service, team, idempotent, payload, status, holder, accepted, claim, failures, outcomeStatus, outcome, reason)

class JobLedger::Private
{
public:
    std::map<JobId, Job> jobs;
    // Waiting jobs by the offset of their acceptance: first accepted, first served.
    std::map<Offset, JobId> waitingByOffset;
    std::set<JobId> claimedJobs;
    std::deque<JobId> finalOldestFirst;
    std::array<std::size_t, 6> counts{};
    VerdictWindow verdicts{verdictWindowSize};
    Offset offset = 0;

    static constexpr std::size_t verdictWindowSize = 8192;

    void setStatus(const JobId &id, Job &job, JobStatus status);
    void enter(const JobId &id, const Job &job);
    Job *standingClaim(const JobId &id, Offset claim, Refusal &refusal);

    Refusal accept(Offset offset, const AcceptJob &body);
    Refusal accept(Offset offset, const ClaimJob &body);
    Refusal accept(Offset offset, const FinishJob &body);
    Refusal accept(Offset offset, const ReleaseJob &body);
    Refusal accept(Offset offset, const CancelJob &body);

    template<typename Other>
    Refusal accept(Offset /*offset*/, const Other & /*body*/)
    {
        return Refusal::NotForThisStream;
    }
};

void JobLedger::Private::enter(const JobId &id, const Job &job)
{
    ++this->counts.at(static_cast<std::size_t>(job.status));
    if (job.status == JobStatus::Waiting) {
        this->waitingByOffset.emplace(job.accepted, id);
    } else if (job.status == JobStatus::Claimed) {
        this->claimedJobs.insert(id);
    } else {
        this->finalOldestFirst.push_back(id);
    }
}

void JobLedger::Private::setStatus(const JobId &id, Job &job, JobStatus status)
{
    --this->counts.at(static_cast<std::size_t>(job.status));
    this->waitingByOffset.erase(job.accepted);
    this->claimedJobs.erase(id);
    job.status = status;
    this->enter(id, job);
    if (!isFinal(status)) {
        return;
    }
    job.payload.clear();
    if (this->finalOldestFirst.size() > JobLedger::maxFinalJobs) {
        const JobId oldest = this->finalOldestFirst.front();
        this->finalOldestFirst.pop_front();
        --this->counts.at(static_cast<std::size_t>(this->jobs.at(oldest).status));
        this->jobs.erase(oldest);
    }
}

Job *JobLedger::Private::standingClaim(const JobId &id, Offset claim, Refusal &refusal)
{
    const auto found = this->jobs.find(id);
    if (found == this->jobs.end()) {
        refusal = Refusal::UnknownJob;
        return nullptr;
    }
    if (isFinal(found->second.status)) {
        refusal = Refusal::AlreadyFinal;
        return nullptr;
    }
    if (found->second.status != JobStatus::Claimed || found->second.claim != claim) {
        refusal = Refusal::StaleToken;
        return nullptr;
    }
    return &found->second;
}

Refusal JobLedger::Private::accept(Offset offset, const AcceptJob &body)
{
    if (body.job.isEmpty() || body.payload.size() > JobLedger::maxPayloadBytes) {
        return Refusal::Undecodable;
    }
    if (this->jobs.contains(body.job)) {
        return Refusal::AlreadyExists;
    }
    Job job;
    job.service = body.service;
    job.team = body.team;
    job.idempotent = body.idempotent;
    job.payload = body.payload;
    job.accepted = offset;
    const auto entry = this->jobs.emplace(body.job, std::move(job)).first;
    this->enter(body.job, entry->second);
    return Refusal::None;
}

Refusal JobLedger::Private::accept(Offset offset, const ClaimJob &body)
{
    const auto found = this->jobs.find(body.job);
    if (found == this->jobs.end()) {
        return Refusal::UnknownJob;
    }
    Job &job = found->second;
    if (isFinal(job.status)) {
        return Refusal::AlreadyFinal;
    }
    if (job.status == JobStatus::Claimed) {
        return Refusal::AlreadyClaimed;
    }
    this->setStatus(body.job, job, JobStatus::Claimed);
    job.claim = offset;
    job.holder = body.holder;
    return Refusal::None;
}

Refusal JobLedger::Private::accept(Offset /*offset*/, const FinishJob &body)
{
    const auto found = this->jobs.find(body.job);
    if (found == this->jobs.end()) {
        return Refusal::UnknownJob;
    }
    Job &job = found->second;
    // A late outcome of a lapsed claim is still the first outcome; it settles what the lapse left in doubt.
    const bool settlesDoubt = job.status == JobStatus::Abandoned && job.claim == body.claim;
    if (isFinal(job.status) && !settlesDoubt) {
        return Refusal::AlreadyFinal;
    }
    if (job.claim == 0 || body.claim > job.claim || body.outcome.size() > JobLedger::maxOutcomeBytes) {
        return Refusal::StaleToken;
    }
    job.outcomeStatus = body.status;
    job.outcome = body.outcome;
    job.reason.clear();
    if (settlesDoubt) {
        --this->counts.at(static_cast<std::size_t>(job.status));
        job.status = JobStatus::Finished;
        ++this->counts.at(static_cast<std::size_t>(job.status));
        return Refusal::None;
    }
    this->setStatus(body.job, job, JobStatus::Finished);
    return Refusal::None;
}

Refusal JobLedger::Private::accept(Offset /*offset*/, const ReleaseJob &body)
{
    Refusal refusal = Refusal::None;
    Job *job = this->standingClaim(body.job, body.claim, refusal);
    if (job == nullptr) {
        return refusal;
    }
    if (body.reason == ReleaseReason::RunFailed && ++job->failures >= JobLedger::maxFailedRuns) {
        job->reason = "failed on " + std::to_string(job->failures) + " runs";
        this->setStatus(body.job, *job, JobStatus::Failed);
        return Refusal::None;
    }
    if (!job->idempotent && body.reason != ReleaseReason::NotRun) {
        job->reason = body.reason == ReleaseReason::LeaseExpired ? "its claim lapsed and it may have run" : "its run failed and it may have had effects";
        this->setStatus(body.job, *job, JobStatus::Abandoned);
        return Refusal::None;
    }
    this->setStatus(body.job, *job, JobStatus::Waiting);
    return Refusal::None;
}

Refusal JobLedger::Private::accept(Offset /*offset*/, const CancelJob &body)
{
    const auto found = this->jobs.find(body.job);
    if (found == this->jobs.end()) {
        return Refusal::UnknownJob;
    }
    Job &job = found->second;
    if (isFinal(job.status)) {
        return Refusal::AlreadyFinal;
    }
    // A claimed job may be running: cancelling it would say "not run" of work that ran.
    if (job.status == JobStatus::Claimed) {
        return Refusal::AlreadyClaimed;
    }
    job.reason = "cancelled by the caller";
    this->setStatus(body.job, job, JobStatus::Cancelled);
    return Refusal::None;
}

JobLedger::JobLedger()
    : d(std::make_unique<Private>())
{
}

JobLedger::~JobLedger() = default;

JobLedger::JobLedger(const JobLedger &other)
    : d(std::make_unique<Private>(*other.d))
{
}

JobLedger::JobLedger(JobLedger &&other) noexcept = default;

JobLedger &JobLedger::operator=(const JobLedger &other)
{
    if (this != &other) {
        this->d = std::make_unique<Private>(*other.d);
    }
    return *this;
}

JobLedger &JobLedger::operator=(JobLedger &&other) noexcept = default;

RecordVerdict JobLedger::apply(Offset offset, const Record &record)
{
    this->d->offset = offset;
    if (const auto earlier = this->d->verdicts.find(record.id)) {
        return *earlier;
    }
    const Refusal refusal = std::visit(
        [this, offset](const auto &body) {
            return this->d->accept(offset, body);
        },
        record.body);
    const RecordVerdict verdict{offset, refusal};
    this->d->verdicts.recordVerdict(record.id, verdict);
    return verdict;
}

RecordVerdict JobLedger::skipUndecodable(Offset offset)
{
    this->d->offset = offset;
    return RecordVerdict{offset, Refusal::Undecodable};
}

std::optional<RecordVerdict> JobLedger::verdictOf(const RecordId &id) const
{
    return this->d->verdicts.find(id);
}

Offset JobLedger::offset() const
{
    return this->d->offset;
}

const Job *JobLedger::job(const JobId &id) const
{
    const auto found = this->d->jobs.find(id);
    return found == this->d->jobs.end() ? nullptr : &found->second;
}

std::vector<JobId> JobLedger::waiting(std::size_t limit) const
{
    std::vector<JobId> first;
    for (const auto &[offset, id] : this->d->waitingByOffset) {
        if (first.size() >= limit) {
            break;
        }
        first.push_back(id);
    }
    return first;
}

std::map<JobId, Offset> JobLedger::claimed() const
{
    std::map<JobId, Offset> claims;
    for (const JobId &id : this->d->claimedJobs) {
        claims.emplace(id, this->d->jobs.at(id).claim);
    }
    return claims;
}

std::size_t JobLedger::count(JobStatus status) const
{
    return this->d->counts.at(static_cast<std::size_t>(status));
}

std::string JobLedger::toJson() const
{
    nlohmann::json jobs = nlohmann::json::array();
    // Final jobs go first and in their order, so that a restored ledger forgets them in the same order.
    for (const JobId &id : this->d->finalOldestFirst) {
        jobs.push_back({id, this->d->jobs.at(id)});
    }
    for (const auto &[id, job] : this->d->jobs) {
        if (!isFinal(job.status)) {
            jobs.push_back({id, job});
        }
    }
    return nlohmann::json{{"offset", this->d->offset}, {"jobs", std::move(jobs)}, {"verdicts", verdictsToJson(this->d->verdicts)}}.dump(
        -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Result<JobLedger> JobLedger::fromJson(std::string_view text)
{
    JobLedger ledger;
    try {
        const nlohmann::json json = nlohmann::json::parse(text);
        ledger.d->offset = json.at("offset");
        for (const nlohmann::json &entry : json.at("jobs")) {
            const JobId id{entry.at(0).get<std::string>()};
            const auto stored = ledger.d->jobs.emplace(id, entry.at(1).get<Job>()).first;
            ledger.d->enter(id, stored->second);
        }
        verdictsFromJson(json.at("verdicts"), ledger.d->verdicts);
    } catch (const std::exception &exception) {
        return makeError(ErrorCode::Decode, exception.what(), "ledger snapshot");
    }
    return ledger;
}

}
