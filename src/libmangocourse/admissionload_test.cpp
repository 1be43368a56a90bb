// Plays a burst into a pool with and without admission, and counts the jobs that end in time.
#include <cmath>
#include <deque>
#include <random>

#include "poolscheduler_test.h"

namespace MangoCourse {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds tickLength{10};
constexpr milliseconds publishInterval{100};
constexpr milliseconds readInterval{250};
constexpr milliseconds burstLength{4000};
constexpr milliseconds playLength{30'000};
// A run's start and end, with the calls.
constexpr milliseconds callTime{10};
constexpr int executorCount = 16;
constexpr int gatewayCount = 6;
constexpr int maxAttempts = 5;
// Steps of a job, one after the other, of two items each.
constexpr std::int32_t stepCount = 3;
// 256 cores finish 64 jobs of 4 core-seconds each second. The mean demand is two fifths of that, and the burst asks for five times the mean.
constexpr double meanJobsPerSecond = 25.6;
constexpr double burstFactor = 5.0;

struct Scenario {
    bool hasAdmission = true;
    // Logarithm of the factor by which all run times exceed the estimates, and spread of the logarithm between the runs.
    double bias = 0;
    double spread = 0;
    milliseconds estimate{1000};
    // The gateways can read loads.
    bool hasViews = true;
};

struct Outcome {
    int jobs = 0;
    int accepted = 0;
    int inTime = 0;
    // Of the accepted ones, counted from the attempt that was accepted.
    int useless = 0;
    // Attempts by second of the play.
    std::map<std::int64_t, int> attempts;
    int decisions = 0;
    int agreed = 0;
};

class AdmissionLoadTest : public PoolSchedulerTest
{
protected:
    struct Caller {
        AcceptedJob job;
        TimePoint firstAt{};
        TimePoint acceptedAt{};
        int attempts = 0;
        int endedItems = 0;
    };

    struct ActiveRun {
        TimePoint endsAt{};
        std::int64_t run = 0;
    };

    struct FakeExecutor {
        std::map<ItemId, ActiveRun> runs;
        std::vector<ReportedEnd> ends;
        std::int64_t lastEnd = 0;
    };

    struct Gateway {
        AdmissionControl control;
        TimePoint nextRead{};
    };

    Outcome outcome;
    std::map<JobId, Caller> callers;
    std::multimap<TimePoint, JobId> returning;
    std::map<std::string, FakeExecutor> fakes;
    std::vector<Gateway> gateways;
    std::optional<PoolLoad> published;
    TimePoint publishedAt{};
    TimePoint nextPublication{};
    TimePoint startedAt{};
    std::mt19937 random{7};

    void attempt(const JobId &id, const Scenario &scenario)
    {
        Caller &caller = this->callers.at(id);
        ++caller.attempts;
        ++this->outcome.attempts[std::chrono::duration_cast<std::chrono::seconds>(this->now - this->startedAt).count()];
        AcceptedJob accepted = caller.job;
        accepted.acceptedAt = this->wall;
        AdmissionDecision decision;
        if (scenario.hasAdmission) {
            const JobDemand demand = JobDemand::create(accepted);
            const auto chosen = static_cast<std::size_t>(this->random() % gatewayCount);
            decision = this->gateways[chosen].control.decide(demand, this->now);
        }
        if (decision.isAdmitted) {
            ++this->outcome.accepted;
            caller.acceptedAt = this->now;
            this->add(accepted);
        } else if (caller.attempts < maxAttempts) {
            this->returning.emplace(this->now + decision.retryAfter, id);
        }
    }

    void submitNew(const Scenario &scenario, double jobsPerSecond, double &credit)
    {
        credit += jobsPerSecond * std::chrono::duration<double>(tickLength).count();
        for (; credit >= 1; credit -= 1) {
            const JobId id{"job-" + std::to_string(++this->outcome.jobs)};
            StepSpec step;
            step.count = 2;
            step.resources = Resources{2000, gigabyte, 0};
            step.estimate = scenario.estimate / stepCount;
            AcceptedJob job = this->job(id.value, step);
            for (std::int32_t earlier = 0; earlier + 1 < stepCount; ++earlier) {
                step.dependsOn = {earlier};
                job.spec.steps.push_back(step);
            }
            job.terms = this->config.queues.front().terms();
            this->callers[id] = Caller{job, this->now};
            this->attempt(id, scenario);
        }
    }

    void followExecutors(const Scenario &scenario)
    {
        std::normal_distribution<double> noise(scenario.bias, scenario.spread);
        for (auto &[name, fake] : this->fakes) {
            bool hasNews = false;
            for (auto run = fake.runs.begin(); run != fake.runs.end();) {
                if (run->second.endsAt > this->now) {
                    ++run;
                    continue;
                }
                fake.ends.push_back(ReportedEnd{++fake.lastEnd, run->first, run->second.run, RunEnd::Done, {}});
                this->noteEnd(run->first);
                run = fake.runs.erase(run);
                hasNews = true;
            }
            if (const auto plan = this->renewal(name)) {
                std::erase_if(fake.ends, [&plan](const ReportedEnd &end) {
                    return end.number <= plan->renewal.acknowledgedEnd;
                });
                hasNews = true;
            }
            if (hasNews) {
                std::vector<ReportedRun> running;
                for (const auto &[item, run] : fake.runs) {
                    running.push_back(ReportedRun{item, run.run, {}, 100, 0});
                }
                this->report(name, running, fake.ends);
            }
        }
        for (const StartOrder &order : this->planAndConfirm().starts) {
            const auto length = static_cast<double>((scenario.estimate / stepCount).count()) * std::exp(noise(this->random));
            const auto runTime = milliseconds(static_cast<std::int64_t>(length)) + callTime;
            this->fakes[order.executor.id.value].runs[order.run.item] = ActiveRun{this->now + runTime, order.run.run};
        }
    }

    void noteEnd(const ItemId &item)
    {
        Caller &caller = this->callers.at(item.job);
        const int itemCount = static_cast<int>(caller.job.spec.steps.size()) * caller.job.spec.steps.front().count;
        if (++caller.endedItems < itemCount) {
            return;
        }
        const milliseconds objective = JobDemand::create(caller.job).objective;
        this->outcome.inTime += this->now - caller.firstAt <= objective ? 1 : 0;
        this->outcome.useless += this->now - caller.acceptedAt > 3 * objective ? 1 : 0;
    }

    void publishAndRead(const Scenario &scenario)
    {
        if (this->now >= this->nextPublication) {
            this->nextPublication = this->now + publishInterval;
            PoolLoad load = this->scheduler->load(this->now, this->wall);
            load.token = 1;
            if (load.isQueueing || (this->published && this->published->isQueueing)) {
                this->published = load;
                this->publishedAt = this->now;
            }
        }
        for (Gateway &gateway : this->gateways) {
            if (!scenario.hasViews || this->now < gateway.nextRead) {
                continue;
            }
            gateway.nextRead = this->now + readInterval;
            if (this->published) {
                gateway.control.setLoad(*this->published, this->publishedAt);
            }
            gateway.control.setCurrentAsOf(this->now);
        }
    }

    // Compares what gateways whose views were made 400 ms apart say of the same jobs.
    void compareViews(AdmissionControl &older, AdmissionControl &newer)
    {
        for (int number = 0; number < 20; ++number) {
            const AcceptedJob probe = this->callers.begin()->second.job;
            JobDemand demand = JobDemand::create(probe);
            demand.objective = demand.chain + milliseconds(200) * number;
            demand.firstSteps = Resources{16000, gigabyte, 0};
            demand.work = WorkAmount{};
            ++this->outcome.decisions;
            this->outcome.agreed += older.decide(demand, this->now).isAdmitted == newer.decide(demand, this->now).isAdmitted ? 1 : 0;
        }
    }

    Outcome play(const Scenario &scenario)
    {
        this->scheduler = this->makeScheduler(1, 0, TimePoint{});
        this->outcome = Outcome{};
        this->callers.clear();
        this->returning.clear();
        this->published.reset();
        this->random.seed(7);
        this->fakes.clear();
        this->gateways = std::vector<Gateway>(gatewayCount);
        std::vector<ExecutorInfo> infos;
        for (int number = 0; number < executorCount; ++number) {
            ExecutorInfo info = executor("x" + std::to_string(number + 10));
            info.capacity = Resources{16000, 32 * gigabyte, 0};
            infos.push_back(info);
            this->fakes[info.id.value];
        }
        this->setDiscovered(infos);
        for (const ExecutorInfo &info : infos) {
            this->report(info.id.value);
        }
        for (int number = 0; number < gatewayCount; ++number) {
            this->gateways[static_cast<std::size_t>(number)].nextRead = this->now + number * readInterval / gatewayCount;
        }
        this->startedAt = this->now;
        this->nextPublication = this->now;
        double credit = 0;
        std::deque<std::pair<PoolLoad, TimePoint>> history;
        const milliseconds warmUp{2000};
        while (this->now - this->startedAt < playLength) {
            const auto passed = this->now - this->startedAt;
            const bool isBurst = passed >= warmUp && passed < warmUp + burstLength;
            this->submitNew(scenario, passed < warmUp ? meanJobsPerSecond : (isBurst ? burstFactor : 0.05) * meanJobsPerSecond, credit);
            while (!this->returning.empty() && this->returning.begin()->first <= this->now) {
                const JobId id = this->returning.begin()->second;
                this->returning.erase(this->returning.begin());
                this->attempt(id, scenario);
            }
            this->followExecutors(scenario);
            this->publishAndRead(scenario);
            if (this->published && this->publishedAt == this->now) {
                history.emplace_back(*this->published, this->now);
                while (this->now - history.front().second > 400ms) {
                    history.pop_front();
                }
                AdmissionControl older;
                AdmissionControl newer;
                older.setLoad(history.front().first, history.front().second);
                newer.setLoad(history.back().first, history.back().second);
                if (this->now - history.front().second == 400ms) {
                    this->compareViews(older, newer);
                }
            }
            this->advance(tickLength);
        }
        return this->outcome;
    }

    static std::string describe(const Outcome &outcome)
    {
        std::string text = "jobs " + std::to_string(outcome.jobs) + ", accepted " + std::to_string(outcome.accepted) + ", in time "
            + std::to_string(outcome.inTime) + ", useless " + std::to_string(outcome.useless) + ", agreed " + std::to_string(outcome.agreed) + "/"
            + std::to_string(outcome.decisions) + ", attempts";
        for (const auto &[second, count] : outcome.attempts) {
            text += " " + std::to_string(count);
        }
        return text;
    }
};

class AdmissionBurstTest : public AdmissionLoadTest, public testing::WithParamInterface<std::pair<double, double>>
{
protected:
    Outcome with;
    Outcome without;

    void SetUp() override
    {
        AdmissionLoadTest::SetUp();
        Scenario scenario;
        std::tie(scenario.bias, scenario.spread) = GetParam();
        // With run times beyond the estimates no job would end within an objective that suits the estimates.
        const bool areEstimatesRight = scenario.bias == 0 && scenario.spread == 0;
        this->config.queues.front().targetLatency = areEstimatesRight ? 600ms : 2500ms;
        this->with = this->play(scenario);
        scenario.hasAdmission = false;
        this->without = this->play(scenario);
        RecordProperty("with", describe(this->with));
        RecordProperty("without", describe(this->without));
    }
};

// Guards against admission that costs callers jobs in time.
TEST_P(AdmissionBurstTest, MoreJobsEndInTimeThanWithoutAdmission)
{
    EXPECT_GT(this->with.inTime, this->without.inTime) << "with: " << describe(this->with) << "; without: " << describe(this->without);
}

// Guards against the acceptance of jobs that end too late to be of use.
TEST_P(AdmissionBurstTest, FewAcceptedJobsAreUseless)
{
    EXPECT_LT(this->with.useless, 0.03 * this->with.accepted) << describe(this->with);
}

// Guards against admission without effect on the jobs that end too late to be of use.
TEST_P(AdmissionBurstTest, FewerJobsAreUselessThanWithoutAdmission)
{
    EXPECT_LT(this->with.useless, this->without.useless) << "with: " << describe(this->with) << "; without: " << describe(this->without);
}

// Guards against callers that return all at once.
TEST_P(AdmissionBurstTest, ReturningCallersMakeNoSecondPeak)
{
    for (const auto &[second, attempts] : this->with.attempts) {
        if (second >= 7) {
            EXPECT_LT(attempts, 0.75 * burstFactor * meanJobsPerSecond) << second << ": " << describe(this->with);
        }
    }
}

// Guards against answers that depend on the machine that a caller happens to ask.
TEST_P(AdmissionBurstTest, ViewsOfDifferentAgeAgree)
{
    EXPECT_GT(this->with.decisions, 100);
    EXPECT_GE(this->with.agreed, 0.9 * this->with.decisions) << describe(this->with);
}

INSTANTIATE_TEST_SUITE_P(Estimates, AdmissionBurstTest, testing::Values(std::pair(0.0, 0.0), std::pair(0.9, 0.0), std::pair(0.0, 0.9)));

// Guards against refusals after the owner is lost: gateways without views admit everything.
TEST_F(AdmissionLoadTest, WithoutViewsNothingIsRefused)
{
    Scenario scenario;
    scenario.hasViews = false;
    const Outcome blind = this->play(scenario);
    EXPECT_EQ(blind.accepted, blind.jobs) << describe(blind);
}

}
}
