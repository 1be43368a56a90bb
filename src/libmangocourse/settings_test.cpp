// The settings tree, settings files, endpoints and the supervisor.
#include <atomic>
#include <thread>

#include <gtest/gtest.h>

#include <mangocourse/fleetfile.h>
#include <mangocourse/processsettings.h>
#include <mangocourse/rendezvous.h>
#include <mangocourse/settingstree.h>
#include <mangocourse/supervisor.h>

namespace MangoCourse {

TEST(SettingsTree, InheritsFromTheNearestAncestor)
{
    SettingsTree tree;
    tree.change("", "request.timeout_ms", 1000);
    tree.change("pool", "request.timeout_ms", 700);
    EXPECT_EQ(tree.value("pool/service", "request.timeout_ms"), 700);
    EXPECT_EQ(tree.value("other/service", "request.timeout_ms"), 1000);
    EXPECT_EQ(tree.explain("pool/service", "request.timeout_ms").path, "pool");
    tree.change("pool", "request.timeout_ms", std::nullopt);
    EXPECT_EQ(tree.value("pool/service", "request.timeout_ms"), 1000);
    EXPECT_EQ(tree.revision(), 3);
    EXPECT_TRUE(tree.explain("pool", "jobs.lease_ms").isDefault);
}

TEST(SettingsTree, CheckNamesTheNearestKeyAndTheRange)
{
    EXPECT_NE(checkSetting("", "request.timeout", "5").error().message.find("request.timeout_ms"), std::string::npos);
    EXPECT_NE(checkSetting("", "request.timeout_ms", "5").error().message.find("from 50 to"), std::string::npos);
    EXPECT_FALSE(checkSetting("/pool", "request.timeout_ms", "500").has_value());
    EXPECT_FALSE(checkSetting("a/b/c", "request.timeout_ms", "500").has_value());
    EXPECT_EQ(*checkSetting("pool/service", "request.timeout_ms", "500"), 500);
}

TEST(Endpoint, ParsesAddressesAndRefusesOthers)
{
    EXPECT_EQ(parseEndpoint("127.0.0.1:80")->port, 80);
    EXPECT_EQ(parseEndpoint("::1:8080")->host, "::1");
    for (const char *bad : {"", "host", "host:", ":80", "host:99999", "host:8x"}) {
        EXPECT_FALSE(parseEndpoint(bad).has_value()) << bad;
    }
}

TEST(FleetFile, PublishingTwiceCannotUndoAnOperatorsChange)
{
    const std::string text = R"(name = "f"
data_centres = ["a"]
[[pool]]
name = "p"
min_available = 0
instances_per_data_centre = 2
[[setting]]
key = "request.timeout_ms"
value = 500
)";
    const Result<FleetFile> file = parseFleetFile(text, "f.toml");
    ASSERT_TRUE(file.has_value()) << file.error().message;
    const std::vector<Record> first = buildFleetRecords(*file);
    EXPECT_EQ(first.size(), 4U);
    EXPECT_EQ(std::get<ChangeSetting>(first.back().body).expected, 0);
    EXPECT_EQ(buildFleetRecords(*file).front().id, first.front().id);
}

TEST(Rendezvous, LosingOneMovesOnlyItsSubjects)
{
    const std::vector<ProcessId> all = {ProcessId{"a"}, ProcessId{"b"}, ProcessId{"c"}};
    const std::vector<ProcessId> fewer = {ProcessId{"a"}, ProcessId{"c"}};
    for (int number = 0; number < 100; ++number) {
        const std::string subject = "s" + std::to_string(number);
        const ProcessId leader = rendezvousLeader(all, subject);
        if (leader != ProcessId{"b"}) {
            EXPECT_EQ(rendezvousLeader(fewer, subject), leader);
        }
    }
    EXPECT_TRUE(rendezvousLeader({}, "s").isEmpty());
}

TEST(Supervisor, RestartsAFailingDutyAndStopsInReverse)
{
    auto supervisor = Supervisor::create("test");
    std::atomic<int> runs{0};
    std::atomic<int> begun{0};
    std::vector<std::string> ends;
    const auto waiting = [&ends, &begun](const std::string &name) {
        return [&ends, &begun, name](const std::stop_token &stop) -> Result<void> {
            ++begun;
            while (!stop.stop_requested()) {
                std::this_thread::yield();
            }
            ends.push_back(name);
            return {};
        };
    };
    (*supervisor)->start({"first", waiting("first")});
    (*supervisor)->start({"second", waiting("second")});
    (*supervisor)->start({"failing", [&runs](const std::stop_token &) -> Result<void> {
                              if (++runs < 3) {
                                  throw std::runtime_error("broken");
                              }
                              return {};
                          }});
    while (runs < 3 || begun < 2) {
        std::this_thread::yield();
    }
    (*supervisor)->stop();
    EXPECT_EQ(ends, (std::vector<std::string>{"second", "first"}));
    EXPECT_EQ((*supervisor)->report().back().restarts, 2);
    EXPECT_FALSE((*supervisor)->start({"late", waiting("late")}).has_value());
}

}
