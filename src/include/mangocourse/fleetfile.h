// The fleet file, the operators' TOML description of a fleet: data centres, services, teams, pools, instances and settings.
#pragma once

#include <chrono>
#include <string>
#include <vector>

#include <mangocourse/error.h>
#include <mangocourse/ids.h>
#include <mangocourse/record.h>
#include <mangocourse/workclass.h>

namespace MangoCourse {

// A service that callers request.
struct ServiceSpec {
    ServiceId service;
    WorkClass workClass = WorkClass::Counter;
    bool idempotent = true;
    // Declared run time and load: initial estimates only, the actual values are learned.
    std::chrono::milliseconds runTime{};
    double requestsPerSecond = 0;
    std::chrono::milliseconds responseDeadline{};
    int bodyBytes = 0;
};

// A [[pool]] table.
struct PoolEntrySpec {
    PoolId pool;
    PoolSpec spec;
};

// An instance generated from a [[pool]] table.
struct InstanceEntrySpec {
    InstanceId instance;
    PoolId pool;
    InstanceSpec spec;
};

// A [[setting]] table: a value at one node of the settings tree.
struct SettingEntrySpec {
    std::string path;
    std::string key;
    std::string value;
};

// The contents of a validated fleet file.
struct FleetFile {
    std::string name;
    std::vector<DataCentreId> dataCentres;
    std::vector<ServiceSpec> services;
    std::vector<TeamId> teams;
    std::vector<PoolEntrySpec> pools;
    std::vector<InstanceEntrySpec> instances;
    std::vector<SettingEntrySpec> settings;

    // Returns the service, or nullptr if the name is unknown.
    const ServiceSpec *service(const ServiceId &id) const;
};

// Reads and validates the file. All errors are returned as one InvalidConfig error, one a line: file, line, key, found and allowed.
Result<FleetFile> readFleetFile(const std::string &path);

// Parses and validates text; `name` is the file name in messages.
Result<FleetFile> parseFleetFile(std::string_view text, const std::string &name);

// Returns the records that publish the fleet. Their ids are hashes of their content, so that publishing the same file again is idempotent.
std::vector<Record> buildFleetRecords(const FleetFile &file);

}
