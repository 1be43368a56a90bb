// Admission, placement, fairness, ejection.
#include <gtest/gtest.h>

#include <mangocourse/dispatcher.h>

namespace MangoCourse {

namespace {

using namespace std::chrono_literals;

const ServiceId counterService{"counter"};
const ServiceId nightService{"night"};

DispatchView makeView(int executors, int slots)
{
    DispatchView view;
    view.pools.push_back({PoolId{"day"}, {counterService}, {PoolId{"night"}}, 100, 50});
    view.pools.push_back({PoolId{"night"}, {nightService}, {}, 100, 50});
    for (int number = 0; number < executors; ++number) {
        view.executors.push_back({InstanceId{"day-" + std::to_string(number)}, PoolId{"day"}, slots, true, true});
        view.executors.push_back({InstanceId{"night-" + std::to_string(number)}, PoolId{"night"}, slots, true, true});
    }
    return view;
}

WorkRequest makeRequest(const ServiceId &service, TimePoint now, const std::string &team = "t", WorkClass workClass = WorkClass::Counter)
{
    return {service, TeamId{team}, workClass, now + 2s, {}};
}

class DispatcherTest : public testing::Test
{
public:
    DispatcherTest()
        : dispatcher(std::move(*Dispatcher::create(1)))
    {
    }

    Admission submit(const WorkRequest &request)
    {
        return this->dispatcher.submit(request, this->now);
    }

    Dispatcher dispatcher;
    TimePoint now{10s};
};

}

TEST_F(DispatcherTest, UnknownServiceIsRefused)
{
    EXPECT_EQ(this->submit(makeRequest(counterService, this->now)).reason, RefuseReason::UnknownService);
}

TEST_F(DispatcherTest, UsesEverySlotThenLendersThenWaits)
{
    this->dispatcher.updateView(makeView(1, 2), this->now);
    std::map<std::string, int> started;
    for (int number = 0; number < 4; ++number) {
        const Admission admission = this->submit(makeRequest(counterService, this->now));
        ASSERT_EQ(admission.kind, Admission::Kind::Started);
        ++started[admission.instance.value];
    }
    EXPECT_EQ(started["day-0"], 2);
    EXPECT_EQ(started["night-0"], 2);
    EXPECT_EQ(this->submit(makeRequest(counterService, this->now)).kind, Admission::Kind::Waiting);
}

TEST_F(DispatcherTest, FreedSlotGoesToCounterWorkFirst)
{
    this->dispatcher.updateView(makeView(1, 1), this->now);
    const Admission night = this->submit(makeRequest(nightService, this->now, "t", WorkClass::Overnight));
    this->submit(makeRequest(counterService, this->now));
    const Admission waitingNight = this->submit(makeRequest(nightService, this->now, "t", WorkClass::Overnight));
    const Admission waitingCounter = this->submit(makeRequest(counterService, this->now));
    ASSERT_EQ(waitingCounter.kind, Admission::Kind::Waiting);
    const auto started = this->dispatcher.finish(night.ticket, AttemptResult::Succeeded, this->now);
    ASSERT_EQ(started.size(), 1U);
    EXPECT_EQ(started.front().ticket, waitingCounter.ticket);
    EXPECT_NE(started.front().ticket, waitingNight.ticket);
}

TEST_F(DispatcherTest, TeamsShareFairly)
{
    this->dispatcher.updateView(makeView(1, 1), this->now);
    const Admission first = this->submit(makeRequest(nightService, this->now, "big", WorkClass::Overnight));
    for (int number = 0; number < 5; ++number) {
        this->submit(makeRequest(nightService, this->now, "big", WorkClass::Overnight));
    }
    DispatchView two = makeView(2, 1);
    const Admission small = this->submit(makeRequest(nightService, this->now, "small", WorkClass::Overnight));
    const auto started = this->dispatcher.updateView(two, this->now);
    ASSERT_EQ(started.size(), 1U);
    EXPECT_EQ(started.front().ticket, small.ticket) << "the team with nothing running comes before the one that has " << first.ticket;
}

TEST_F(DispatcherTest, RefusesWhatCannotFinishInTime)
{
    this->dispatcher.updateView(makeView(1, 1), this->now);
    const Admission first = this->submit(makeRequest(nightService, this->now));
    this->dispatcher.finish(first.ticket, AttemptResult::Succeeded, this->now + 1500ms);
    this->submit(makeRequest(nightService, this->now));
    EXPECT_EQ(this->submit(makeRequest(nightService, this->now)).kind, Admission::Kind::Waiting);
    const Admission late = this->submit(makeRequest(nightService, this->now));
    EXPECT_EQ(late.kind, Admission::Kind::Refused);
    EXPECT_EQ(late.reason, RefuseReason::WouldMissDeadline);
    EXPECT_GT(late.retryAfter.count(), 0);
}

TEST_F(DispatcherTest, FailingExecutorIsEjectedAndTheCapHolds)
{
    this->dispatcher.updateView(makeView(2, 4), this->now);
    for (int number = 0; number < 40; ++number) {
        const Admission admission = this->submit(makeRequest(nightService, this->now));
        ASSERT_EQ(admission.kind, Admission::Kind::Started);
        this->dispatcher.finish(admission.ticket, AttemptResult::Failed, this->now);
    }
    // Both fail everything: only half of the pool may be ejected, work goes on at the other.
    EXPECT_EQ(this->dispatcher.stats().ejections, 1U);
    EXPECT_EQ(this->submit(makeRequest(nightService, this->now)).kind, Admission::Kind::Started);
}

TEST_F(DispatcherTest, CancelledWaitersCostNothingLater)
{
    constexpr int waiters = 10'000;
    DispatchView view = makeView(1, 1);
    view.pools[1].queueLimit = waiters;
    this->dispatcher.updateView(view, this->now);
    const Admission running = this->submit(makeRequest(nightService, this->now));
    std::vector<Ticket> tickets;
    for (int number = 0; number < waiters; ++number) {
        tickets.push_back(this->submit(makeRequest(nightService, this->now)).ticket);
    }
    for (const Ticket ticket : tickets) {
        EXPECT_TRUE(this->dispatcher.cancel(ticket));
    }
    EXPECT_TRUE(this->dispatcher.finish(running.ticket, AttemptResult::Succeeded, this->now).empty());
    EXPECT_EQ(this->dispatcher.stats().waiting, 0U);
}

TEST_F(DispatcherTest, BusyRefusalLowersTheLimitAndLeavingStopsNewWork)
{
    this->dispatcher.updateView(makeView(1, 4), this->now);
    const Admission admission = this->submit(makeRequest(nightService, this->now));
    this->dispatcher.finish(admission.ticket, AttemptResult::RefusedBusy, this->now);
    for (const ExecutorStats &report : this->dispatcher.executors(this->now)) {
        EXPECT_EQ(report.limit, report.instance.value == "night-0" ? 3 : 4);
    }
    this->dispatcher.markLeaving(InstanceId{"night-0"}, this->now);
    EXPECT_EQ(this->submit(makeRequest(nightService, this->now)).kind, Admission::Kind::Waiting);
}

TEST_F(DispatcherTest, RetriesAreAShareOfTheRequests)
{
    this->dispatcher.updateView(makeView(1, 4), this->now);
    int retries = 0;
    for (int number = 0; number < 1000; ++number) {
        const Admission admission = this->submit(makeRequest(nightService, this->now));
        this->dispatcher.finish(admission.ticket, AttemptResult::Succeeded, this->now);
        retries += this->dispatcher.tryRetry() ? 1 : 0;
    }
    EXPECT_LE(retries, 1000 / 10 + 10);
    EXPECT_GT(retries, 50);
}

}
