#include <mangocourse/ownerchoice.h>

#include <gtest/gtest.h>

namespace MangoCourse {
namespace {

using namespace std::chrono_literals;

OwnerView makeView(std::int32_t share, bool isMember, std::vector<std::int32_t> others)
{
    return OwnerView{share, isMember, false, std::move(others), 300ms, 300ms};
}

TEST(OwnerChoiceTest, JoinsAVacancyOnlyAfterTheDelay)
{
    OwnerView vacancy = makeView(120, false, {});
    vacancy.neededFor = 299ms;
    EXPECT_EQ(chooseOwnerAction(vacancy), OwnerAction::StandBy);
    vacancy.neededFor = 300ms;
    EXPECT_EQ(chooseOwnerAction(vacancy), OwnerAction::Join);
}

TEST(OwnerChoiceTest, WeakProcessStandsByWhileEnoughStrongOwnersExist)
{
    EXPECT_EQ(chooseOwnerAction(makeView(120, false, {500, 500, 500})), OwnerAction::StandBy);
    EXPECT_EQ(chooseOwnerAction(makeView(120, true, {500, 500, 500})), OwnerAction::Leave);
}

// When all processes restart at once, pools are assigned while only a few strong owners have joined.
TEST(OwnerChoiceTest, WeakOwnerLeavesOnceAStrongerOneJoins)
{
    EXPECT_EQ(chooseOwnerAction(makeView(120, true, {500, 120, 120, 120})), OwnerAction::Leave);
    EXPECT_EQ(chooseOwnerAction(makeView(500, true, {120, 120, 120, 120})), OwnerAction::Stay);
}

TEST(OwnerChoiceTest, WeakProcessJoinsAndStaysIfStrongOwnersAreTooFew)
{
    EXPECT_EQ(chooseOwnerAction(makeView(120, false, {500, 120, 120})), OwnerAction::Join);
    OwnerView rejoined = makeView(120, true, {500, 120, 120});
    rejoined.hasRejoined = true;
    EXPECT_EQ(chooseOwnerAction(rejoined), OwnerAction::Stay);
}

// After the store has refused the strong owners for a while, weak ones hold all partitions, and the strong ones, which own nothing, are not listed.
TEST(OwnerChoiceTest, WeakOwnerMakesRoomForStrongerProcessesThatOwnNothing)
{
    OwnerView weak = makeView(120, true, {120, 120, 120});
    weak.memberFor = 30s;
    EXPECT_EQ(chooseOwnerAction(weak), OwnerAction::Stay) << "no stronger process is known";
    weak.hasSeenStrongerOwner = true;
    EXPECT_EQ(chooseOwnerAction(weak), OwnerAction::Leave);
    weak.memberFor = 3s;
    EXPECT_EQ(chooseOwnerAction(weak), OwnerAction::Stay) << "too soon";
    weak.resignations = 3;
    weak.memberFor = 30s;
    EXPECT_EQ(chooseOwnerAction(weak), OwnerAction::Stay) << "it was in vain three times";
    weak.memberFor = 60s;
    EXPECT_EQ(chooseOwnerAction(weak), OwnerAction::Leave);
}

// The store deals partitions evenly, so weak members would take busy pools from the two strong owners that are left.
TEST(OwnerChoiceTest, WeakProcessLeavesThePoolsToTwoStrongOwners)
{
    EXPECT_EQ(chooseOwnerAction(makeView(120, false, {500, 500, 120})), OwnerAction::StandBy);
    OwnerView rejoined = makeView(120, true, {500, 500, 120});
    rejoined.hasRejoined = true;
    EXPECT_EQ(chooseOwnerAction(rejoined), OwnerAction::Leave);
}

TEST(OwnerChoiceTest, ProcessesWithSimilarSharesAllJoin)
{
    EXPECT_EQ(chooseOwnerAction(makeView(250, false, {250, 250, 250, 250})), OwnerAction::Join);
    EXPECT_EQ(chooseOwnerAction(makeView(250, true, {250, 250, 250, 250})), OwnerAction::Stay);
    EXPECT_EQ(chooseOwnerAction(makeView(500, false, {120, 120, 120})), OwnerAction::Join);
}

TEST(OwnerChoiceTest, UnknownSharesDoNotPreventJoining)
{
    EXPECT_EQ(chooseOwnerAction(makeView(0, false, {500, 500, 500})), OwnerAction::Join);
    EXPECT_EQ(chooseOwnerAction(makeView(120, false, {0, 0, 0})), OwnerAction::Join);
}

// The store refused all strong processes for a while, and a weak one planned for the rest of the day on reports that were 1.5 s old.
TEST(OwnerChoiceTest, WeakPlannerResignsOnceAStrongerProcessOwnsPools)
{
    PlannerView view{1s, 5s};
    EXPECT_TRUE(shouldResignAsPlanner(view));
    view.planningFor = 3s;
    EXPECT_FALSE(shouldResignAsPlanner(view)) << "too soon";
    view.planningFor = 5s;
    view.resignations = 1;
    EXPECT_FALSE(shouldResignAsPlanner(view)) << "it was in vain once";
    EXPECT_FALSE(shouldResignAsPlanner(PlannerView{3s, 60s})) << "the stronger process was seen too long ago";
    EXPECT_FALSE(shouldResignAsPlanner(PlannerView{std::nullopt, 60s}));
}

TEST(OwnerChoiceTest, WeakProcessLeavesAVacancyOfThePlannerToStrongerOnes)
{
    PlannerView view{1s, 0ms, 0, 200ms, 760ms};
    EXPECT_FALSE(shouldJoinPlanners(view));
    view.vacantFor = 760ms;
    EXPECT_TRUE(shouldJoinPlanners(view));
    EXPECT_TRUE(shouldJoinPlanners(PlannerView{std::nullopt, 0ms, 0, 0ms, 500ms})) << "no process is stronger";
}

}
}
