// Tests that records with a client account are read back, that the previous version reads them, and that its records are read.
#include "recordcodec.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace MangoCourse {
namespace {

using namespace std::chrono_literals;
using Json = nlohmann::json;

AcceptedJob acceptedJob()
{
    return AcceptedJob{JobId{"j"}, QueueId{"q"}, ServiceId{"s"}, WallTime(5ms), JobSpec{"p", {StepSpec{}}, {}}, JobTerms{1, 2, 1.5, 600ms, true},
        JobPlacement{"0123456789abcdef", 7}, AccountId{"north"}};
}

JobProgress jobProgress()
{
    return JobProgress{
        JobId{"j"}, QueueId{"q"}, ServiceId{"s"}, JobState::Running, true, WallTime(5ms), {}, JobTerms{1, 2, 1.5, 600ms, true}, AccountId{"north"}};
}

Json elementsOf(const std::string &bytes)
{
    return Json::from_cbor(bytes);
}

std::string bytesOf(const Json &json)
{
    const std::vector<std::uint8_t> bytes = Json::to_cbor(json);
    return {bytes.begin(), bytes.end()};
}

TEST(AccountRecords, AccountsAreReadBack)
{
    AcceptedJob job = acceptedJob();
    for (const bool hasTerms : {true, false}) {
        for (const bool hasPlacement : {true, false}) {
            job.terms = hasTerms ? acceptedJob().terms : std::nullopt;
            job.placement = hasPlacement ? acceptedJob().placement : std::nullopt;
            const auto back = decodeAcceptedJob(job.id, encodeAcceptedJob(job));
            ASSERT_TRUE(back) << describe(back.error());
            EXPECT_EQ(back->account, job.account);
            EXPECT_EQ(back->terms, job.terms);
            EXPECT_EQ(back->placement, job.placement);
        }
    }
    EXPECT_EQ(*decodeProgress(JobId{"j"}, encodeProgress(jobProgress())), jobProgress());
}

// The previous version takes the ninth element for the terms if it is not null, the tenth, if there is one, for an address and a revision, and the seventh
// of a state, if there is one, for the terms. It rejects a record in which they have another type.
TEST(AccountRecords, ThePreviousVersionFindsWhatItReads)
{
    AcceptedJob job = acceptedJob();
    job.terms.reset();
    job.placement.reset();
    const Json bare = elementsOf(encodeAcceptedJob(job));
    EXPECT_TRUE(bare.at(8).is_null());
    EXPECT_TRUE(bare.at(9).at(0).is_string() && bare.at(9).at(1).is_number_integer());
    const Json whole = elementsOf(encodeAcceptedJob(acceptedJob()));
    EXPECT_EQ(whole.at(8), Json::array({1, 2, 1.5, 600, true}));
    EXPECT_EQ(whole.at(9), Json::array({"0123456789abcdef", 7}));
    JobProgress progress = jobProgress();
    EXPECT_EQ(elementsOf(encodeProgress(progress)).at(6), Json::array({1, 2, 1.5, 600, true}));
    progress.terms.reset();
    EXPECT_EQ(elementsOf(encodeProgress(progress)).at(6).size(), 5U);
}

TEST(AccountRecords, RecordsOfThePreviousVersionBelongToNobody)
{
    Json job = elementsOf(encodeAcceptedJob(acceptedJob()));
    for (const std::size_t size : {10U, 9U, 8U}) {
        job.erase(size);
        const auto back = decodeAcceptedJob(JobId{"j"}, bytesOf(job));
        ASSERT_TRUE(back) << size;
        EXPECT_TRUE(back->account.isEmpty());
        EXPECT_EQ(back->placement.has_value(), size > 9);
        EXPECT_EQ(back->terms.has_value(), size > 8);
    }
    Json progress = elementsOf(encodeProgress(jobProgress()));
    for (const std::size_t size : {7U, 6U}) {
        progress.erase(size);
        const auto back = decodeProgress(JobId{"j"}, bytesOf(progress));
        ASSERT_TRUE(back) << size;
        EXPECT_TRUE(back->account.isEmpty());
        EXPECT_EQ(back->terms.has_value(), size > 6);
    }
}

// Without an account nothing is added, so that a deployment without accounts stores what it did before.
TEST(AccountRecords, RecordsWithoutAnAccountAreThoseOfThePreviousVersion)
{
    AcceptedJob job = acceptedJob();
    job.account = {};
    EXPECT_EQ(elementsOf(encodeAcceptedJob(job)).size(), 10U);
    JobProgress progress = jobProgress();
    progress.account = {};
    EXPECT_EQ(elementsOf(encodeProgress(progress)).size(), 7U);
    progress.terms.reset();
    EXPECT_EQ(elementsOf(encodeProgress(progress)).size(), 6U);
}

}
}
