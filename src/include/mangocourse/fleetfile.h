// The operators' description of a fleet in TOML: data centres, services, teams, pools and instances.
#pragma once

#include <chrono>
#include <string>
#include <vector>

#include <mangocourse/error.h>
#include <mangocourse/ids.h>
#include <mangocourse/record.h>
#include <mangocourse/workclass.h>

namespace MangoCourse {

// One service that callers ask for.
struct ServiceSpec {
    ServiceId service;
    WorkClass workClass = WorkClass::Counter;
    bool idempotent = true;
    // Declared run time and load; a prior only, the true ones are learned.
    std::chrono::milliseconds runTime{};
    double requestsPerSecond = 0;
    std::chrono::milliseconds responseDeadline{};
    int bodyBytes = 0;
};

struct PoolEntrySpec {
    PoolId pool;
    PoolSpec spec;
};

struct InstanceEntrySpec {
    InstanceId instance;
    PoolId pool;
    InstanceSpec spec;
};

struct SettingEntrySpec {
    std::string path;
    std::string key;
    std::string value;
};

// A whole validated fleet file.
struct FleetFile {
    std::string name;
    std::vector<DataCentreId> dataCentres;
    std::vector<ServiceSpec> services;
    std::vector<TeamId> teams;
    std::vector<PoolEntrySpec> pools;
    std::vector<InstanceEntrySpec> instances;
    std::vector<SettingEntrySpec> settings;

    // Returns the service, or nullptr where there is none of that name.
    const ServiceSpec *service(const ServiceId &id) const;
};

// Reads and validates the file. All faults come in one InvalidConfig error, a line each: file, line, key, found and allowed.
Result<FleetFile> readFleetFile(const std::string &path);

// The same from text; `name` stands for the file in messages.
Result<FleetFile> parseFleetFile(std::string_view text, const std::string &name);

// Returns the records that publish the fleet; their ids depend on the content only, so a second publication is harmless.
std::vector<Record> buildFleetRecords(const FleetFile &file);

}
