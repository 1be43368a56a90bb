#include <mangocourse/ownerchoice.h>

#include <gtest/gtest.h>

namespace MangoCourse {
namespace {

using namespace std::chrono_literals;

OwnerView view(std::int32_t share, bool isMember, std::vector<std::int32_t> others)
{
    return OwnerView{share, isMember, false, std::move(others), 300ms, 300ms};
}

TEST(OwnerChoiceTest, AVacancyIsLeftToStrongerProcessesForAMoment)
{
    OwnerView nobody = view(120, false, {});
    nobody.neededFor = 299ms;
    EXPECT_EQ(chooseOwnerAction(nobody), OwnerAction::StandBy);
    nobody.neededFor = 300ms;
    EXPECT_EQ(chooseOwnerAction(nobody), OwnerAction::Join);
}

TEST(OwnerChoiceTest, AWeakProcessStandsByWhileEnoughStrongOnesOwn)
{
    EXPECT_EQ(chooseOwnerAction(view(120, false, {500, 500, 500})), OwnerAction::StandBy);
    EXPECT_EQ(chooseOwnerAction(view(120, true, {500, 500, 500})), OwnerAction::Leave);
}

// All processes were lost and came back at once: pools were dealt out while only few strong ones had joined.
TEST(OwnerChoiceTest, AWeakOwnerLeavesAsSoonAsOneIsStronger)
{
    EXPECT_EQ(chooseOwnerAction(view(120, true, {500, 120, 120, 120})), OwnerAction::Leave);
    EXPECT_EQ(chooseOwnerAction(view(500, true, {120, 120, 120, 120})), OwnerAction::Stay);
}

TEST(OwnerChoiceTest, AWeakProcessTakesPartForGoodOnceTheStrongOnesAreFew)
{
    EXPECT_EQ(chooseOwnerAction(view(120, false, {500, 500, 120})), OwnerAction::Join);
    OwnerView back = view(120, true, {500, 500, 120});
    back.hasRejoined = true;
    EXPECT_EQ(chooseOwnerAction(back), OwnerAction::Stay);
}

TEST(OwnerChoiceTest, ProcessesAlikeAllTakePart)
{
    EXPECT_EQ(chooseOwnerAction(view(250, false, {250, 250, 250, 250})), OwnerAction::Join);
    EXPECT_EQ(chooseOwnerAction(view(250, true, {250, 250, 250, 250})), OwnerAction::Stay);
    EXPECT_EQ(chooseOwnerAction(view(500, false, {120, 120, 120})), OwnerAction::Join);
}

TEST(OwnerChoiceTest, UnknownSharesKeepNobodyOut)
{
    EXPECT_EQ(chooseOwnerAction(view(0, false, {500, 500, 500})), OwnerAction::Join);
    EXPECT_EQ(chooseOwnerAction(view(120, false, {0, 0, 0})), OwnerAction::Join);
}

}
}
