// Bounds of the memory of records that may be stored.
#include "unsettledrecords.h"

#include <gtest/gtest.h>

namespace MangoCourse {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint start{1h};

TEST(UnsettledRecords, RefusedAppendLeavesNothingBehind)
{
    UnsettledRecords records;
    records.beginAppend("key");
    EXPECT_TRUE(records.contains("key"));
    records.endAppend("key", false, start);
    EXPECT_FALSE(records.contains("key"));
}

TEST(UnsettledRecords, UnansweredAppendIsSettledByAReadAfterItsLastPossibleExecution)
{
    UnsettledRecords records;
    records.beginAppend("key");
    records.endAppend("key", true, start);
    records.beginAppend("key");
    records.endAppend("key", false, start + 1s);
    EXPECT_TRUE(records.contains("key"));
    EXPECT_FALSE(records.contains("other"));
    records.settle(start + UnsettledRecords::maxExecutionDelay - 1ms);
    EXPECT_TRUE(records.contains("key"));
    records.settle(start + UnsettledRecords::maxExecutionDelay);
    EXPECT_FALSE(records.contains("key"));
}

TEST(UnsettledRecords, LaterUnansweredAppendProlongsTheWait)
{
    UnsettledRecords records;
    for (const TimePoint endedAt : {start, start + 5s}) {
        records.beginAppend("key");
        records.endAppend("key", true, endedAt);
    }
    records.settle(start + UnsettledRecords::maxExecutionDelay);
    EXPECT_TRUE(records.contains("key"));
    records.settle(start + 5s + UnsettledRecords::maxExecutionDelay);
    EXPECT_FALSE(records.contains("key"));
}

TEST(UnsettledRecords, AnyKeyIsUnsettledAfterKeysWereForgottenForWantOfRoom)
{
    constexpr int keys = 10'000;
    UnsettledRecords records;
    for (int number = 0; number < keys; ++number) {
        records.beginAppend(std::to_string(number));
        records.endAppend(std::to_string(number), true, start);
    }
    EXPECT_TRUE(records.contains("0"));
    EXPECT_TRUE(records.contains("other"));
    records.settle(start + UnsettledRecords::maxExecutionDelay);
    EXPECT_FALSE(records.contains("0"));
    EXPECT_FALSE(records.contains("other"));
}

TEST(UnsettledRecords, ConfirmedAppendSettlesTheUnansweredOnesOfItsKey)
{
    UnsettledRecords records;
    records.beginAppend("key");
    records.endAppend("key", true, start);
    records.beginAppend("key");
    records.markStored("key");
    records.endAppend("key", false, start);
    EXPECT_FALSE(records.contains("key"));
}

}
}
