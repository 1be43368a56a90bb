// Messages of the relay: what other programs may send instead of them.
#include "relaycodec.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "recordcodec.h"

namespace MangoCourse {
namespace {

using namespace std::chrono_literals;

constexpr std::int32_t partitions = 8;
const JobId job{"00000000000000aa"};

StoredRecord submission(const std::string &service = "desk")
{
    AcceptedJob accepted{job, QueueId{"counter"}, ServiceId{service}, WallTime(1ms), JobSpec{"work", {StepSpec{}}, {}}, {}, {}};
    return StoredRecord{job.value, encodeAcceptedJob(accepted), -1};
}

RelayedBatch batchOf(std::vector<StoredRecord> records)
{
    return RelayedBatch{ProcessId{"owner"}, partitionOf(ServiceId{"desk"}, partitions), WallTime(1000ms), 900ms, std::move(records)};
}

bool isAccepted(const RelayedBatch &batch)
{
    return decodeRelayedBatch(encodeRelayedBatch(batch), partitions).has_value();
}

TEST(RelayCodec, MessagesAreReadAsTheyWereWritten)
{
    const AppenderAddress address{ProcessId{"owner"}, Endpoint{"10.0.0.1", 7060}, 12};
    EXPECT_EQ(*decodeAppenderAddress(encodeAppenderAddress(address)), address);
    EXPECT_EQ(*parseAppenderKey(appenderKey(7)), 7);
    const RelayedBatch batch = batchOf({submission(), StoredRecord{cancellationKey(job), "1", -1}});
    const Result<RelayedBatch> read = decodeRelayedBatch(encodeRelayedBatch(batch), partitions);
    ASSERT_TRUE(read) << describe(read.error());
    EXPECT_EQ(read->process, batch.process);
    EXPECT_EQ(read->partition, batch.partition);
    EXPECT_EQ(read->sentAt, batch.sentAt);
    EXPECT_EQ(read->timeout, batch.timeout);
    ASSERT_EQ(read->records.size(), 2U);
    EXPECT_EQ(read->records[0].value, batch.records[0].value);
    const RelayAnswer answer{240ms, {RecordAnswer{AppendOutcome::Durable, {}, false}, RecordAnswer{AppendOutcome::NotStored, "full", false}}};
    const Result<RelayAnswer> readAnswer = decodeRelayAnswer(encodeRelayAnswer(answer), 2);
    ASSERT_TRUE(readAnswer);
    EXPECT_EQ(readAnswer->appendTime, 240ms);
    EXPECT_EQ(readAnswer->records[0].outcome, AppendOutcome::Durable);
    EXPECT_EQ(readAnswer->records[1].outcome, AppendOutcome::NotStored);
}

// The admin server takes calls from anybody in the network: nothing but the records of callers may get into the partition by it.
TEST(RelayCodec, OnlySubmissionsAndCancellationsAreRelayed)
{
    EXPECT_TRUE(isAccepted(batchOf({submission()})));
    EXPECT_FALSE(isAccepted(batchOf({submission("shop")}))) << "of another partition";
    EXPECT_FALSE(isAccepted(batchOf({StoredRecord{job.value, {}, -1}}))) << "a deletion";
    EXPECT_FALSE(isAccepted(batchOf({StoredRecord{job.value, "work", -1}})));
    EXPECT_FALSE(isAccepted(batchOf({StoredRecord{cancellationKey(job), {}, -1}})));
    EXPECT_FALSE(isAccepted(batchOf({StoredRecord{cancellationKey(job), "2", -1}})));
    const std::string value = submission().value;
    for (const char *key : {"", "@owner", "@x/1/executor", "@s/0000000000000000/1/w", "+1/00000000000000aa", "aa", "00000000000000ag", "!", "!aa",
             "!!00000000000000a", "00000000000000aaa", "appender/0"}) {
        EXPECT_FALSE(isAccepted(batchOf({StoredRecord{key, value, -1}}))) << key;
        EXPECT_FALSE(isAccepted(batchOf({StoredRecord{key, "1", -1}}))) << key;
    }
    RelayedBatch batch = batchOf({submission()});
    for (const std::int32_t partition : {-1, partitions, 1'000'000}) {
        batch.partition = partition;
        EXPECT_FALSE(isAccepted(batch)) << partition;
    }
}

TEST(RelayCodec, MalformedMessagesAreErrors)
{
    const std::string batch = encodeRelayedBatch(batchOf({submission()}));
    const std::string answer = encodeRelayAnswer(RelayAnswer{4ms, {RecordAnswer{AppendOutcome::Durable, {}, false}}});
    const std::string address = encodeAppenderAddress(AppenderAddress{ProcessId{"owner"}, Endpoint{"10.0.0.1", 7060}, 12});
    for (std::size_t length = 0; length < batch.size(); ++length) {
        EXPECT_FALSE(decodeRelayedBatch(batch.substr(0, length), partitions)) << length;
        EXPECT_FALSE(decodeRelayAnswer(answer.substr(0, std::min(length, answer.size() - 1)), 1)) << length;
        EXPECT_FALSE(decodeAppenderAddress(address.substr(0, std::min(length, address.size() - 1)))) << length;
    }
    EXPECT_FALSE(decodeRelayedBatch(std::string(100'000, '\x81'), partitions)) << "nested arrays";
    EXPECT_FALSE(decodeRelayedBatch(std::string(maxRelayBytes + 1, '\0'), partitions));
    EXPECT_FALSE(decodeRelayAnswer(answer, 2)) << "an outcome is missing";
    const auto encode = [](const nlohmann::json &json) {
        const std::vector<std::uint8_t> bytes = nlohmann::json::to_cbor(json);
        return std::string(bytes.begin(), bytes.end());
    };
    using Json = nlohmann::json;
    EXPECT_FALSE(decodeRelayAnswer(encode(Json::array({4, Json::array({Json::array({3, ""})})})), 1)) << "an outcome that is not defined";
    EXPECT_FALSE(decodeRelayAnswer(encode(Json::array({-1, Json::array({Json::array({0, ""})})})), 1));
    for (const Json &odd : {Json::array({"owner", "10.0.0.1", 0, 1}), Json::array({"owner", "10.0.0.1", 65536, 1}), Json::array({"owner", "", 7060, 1}),
             Json::array({"", "10.0.0.1", 7060, 1}), Json::array({"owner", "10.0.0.1", 7060, -1}), Json::array({1, 2, 3, 4}), Json::object()}) {
        EXPECT_FALSE(decodeAppenderAddress(encode(odd))) << odd;
    }
    for (const char *key : {"", "appender/", "appender/-1", "appender/1x", "appender/99999999999", "desk"}) {
        EXPECT_FALSE(parseAppenderKey(key)) << key;
    }
}

}
}
