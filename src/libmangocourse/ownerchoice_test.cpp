#include <mangocourse/ownerchoice.h>

#include <gtest/gtest.h>

namespace MangoCourse {
namespace {

using namespace std::chrono_literals;

OwnerView view(std::int32_t share, bool isMember, std::vector<std::int32_t> others)
{
    return OwnerView{share, isMember, std::move(others), 0ms, 300ms};
}

TEST(OwnerChoiceTest, AVacancyIsLeftToStrongerProcessesForAMoment)
{
    OwnerView nobody = view(120, false, {});
    EXPECT_EQ(chooseOwnerMove(nobody), OwnerMove::StandBy);
    nobody.vacantFor = 300ms;
    EXPECT_EQ(chooseOwnerMove(nobody), OwnerMove::Join);
}

TEST(OwnerChoiceTest, AWeakProcessStandsByWhileEnoughStrongOnesOwn)
{
    EXPECT_EQ(chooseOwnerMove(view(120, false, {500, 500, 500})), OwnerMove::StandBy);
    EXPECT_EQ(chooseOwnerMove(view(120, true, {500, 500, 500})), OwnerMove::Leave);
}

TEST(OwnerChoiceTest, AWeakProcessTakesPartOnceTheStrongOnesAreFew)
{
    EXPECT_EQ(chooseOwnerMove(view(120, false, {500, 500, 120})), OwnerMove::Join);
    EXPECT_EQ(chooseOwnerMove(view(120, true, {500, 500, 120})), OwnerMove::Stay);
}

TEST(OwnerChoiceTest, ProcessesAlikeAllTakePart)
{
    EXPECT_EQ(chooseOwnerMove(view(250, false, {250, 250, 250, 250})), OwnerMove::Join);
    EXPECT_EQ(chooseOwnerMove(view(250, true, {250, 250, 250, 250})), OwnerMove::Stay);
    EXPECT_EQ(chooseOwnerMove(view(500, false, {120, 120, 120})), OwnerMove::Join);
}

TEST(OwnerChoiceTest, UnknownSharesKeepNobodyOut)
{
    EXPECT_EQ(chooseOwnerMove(view(0, false, {500, 500, 500})), OwnerMove::Join);
    EXPECT_EQ(chooseOwnerMove(view(120, false, {0, 0, 0})), OwnerMove::Join);
}

}
}
