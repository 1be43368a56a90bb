// Platform for tests that run a whole scheduler process.
#pragma once

#include "scheduler_test.h"

#include "schedulerprocess.h"

namespace MangoCourse {

class IdleCallerFrontend : public CallerFrontend
{
public:
    void start() override
    {
    }
    void disableKeepAlive() override
    {
    }
    std::size_t activeRequests() const override
    {
        return 0;
    }
    void stop() override
    {
    }
};

// Provides the fixture's store to the process and the process's caller service to the test.
class TestPlatform : public PlatformAdapter
{
public:
    TestPlatform(MemoryStore &recordStore, FakeExecutors &executorPort, const NodeSettings &nodeSettings, std::map<std::string, FleetConfig> &configs,
        CallerService *&service)
        : recordStore(recordStore)
        , executorPort(executorPort)
        , nodeSettings(nodeSettings)
        , configs(configs)
        , service(service)
    {
    }

    const NodeSettings &settings() const override
    {
        return this->nodeSettings;
    }
    RecordStore &store() override
    {
        return this->recordStore;
    }
    ExecutorPort &executors() override
    {
        return this->executorPort;
    }
    MachinePort *machines() override
    {
        return nullptr;
    }
    PolicyPort *policy() override
    {
        return nullptr;
    }
    Result<std::unique_ptr<CallerFrontend>> openCallerFrontend(CallerService &callerService) override
    {
        this->service = &callerService;
        return std::unique_ptr<CallerFrontend>(std::make_unique<IdleCallerFrontend>());
    }
    Result<OperatorRecord> decodeOperatorRecord(const std::string &, const std::string &value) const override
    {
        const auto found = this->configs.find(value);
        if (found == this->configs.end()) {
            return makeError(ErrorCode::Decode, "is malformed", "tenants[0].name");
        }
        return OperatorRecord(found->second);
    }
    Result<ExecutorInfo> decodeExecutor(const std::string &, const std::string &) const override
    {
        return makeError(ErrorCode::Decode, "there is none");
    }
    StoredRecord encodeWaveStatus(const WaveId &, bool) const override
    {
        return StoredRecord{};
    }

private:
    MemoryStore &recordStore;
    FakeExecutors &executorPort;
    NodeSettings nodeSettings;
    std::map<std::string, FleetConfig> &configs;
    CallerService *&service;
};

}
