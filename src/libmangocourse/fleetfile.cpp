// Validates fleet files and builds the records that publish them.
#include <mangocourse/fleetfile.h>

#include <algorithm>
#include <set>

#include <xxhash.h>

#include <mangocourse/settingstree.h>

#include "textfile_pvt.h"
#include "tomlreader_pvt.h"

namespace MangoCourse {

namespace {

constexpr std::int64_t maxCount = 100'000;
constexpr std::int64_t maxDurationMs = 86'400'000;
constexpr std::int64_t maxBodyBytes = 1024 * 1024 * 1024;

template<typename IdType>
std::vector<IdType> toIds(const std::vector<std::string> &names)
{
    std::vector<IdType> ids;
    for (const std::string &name : names) {
        ids.push_back(IdType{name});
    }
    return ids;
}

void readService(const toml::table &table, ConfigErrors &errors, FleetFile &file)
{
    TableReader reader(table, "service.", errors);
    ServiceSpec service;
    service.service = ServiceId{reader.string("name")};
    const std::string className = reader.string("class");
    const std::optional<WorkClass> workClass = parseWorkClass(className);
    if (!workClass) {
        reader.addError("class", "found \"" + className + "\", allowed are counter, shop and overnight");
    }
    service.workClass = workClass.value_or(WorkClass::Counter);
    service.idempotent = reader.boolean("idempotent", true);
    service.runTime = std::chrono::milliseconds(reader.integer("run_time_ms", 0, maxDurationMs));
    service.requestsPerSecond = reader.number("requests_per_second", 0, maxCount);
    service.responseDeadline = std::chrono::milliseconds(reader.integer("answer_within_ms", 1, maxDurationMs));
    service.bodyBytes = static_cast<int>(reader.integer("body_bytes", 0, maxBodyBytes, 1024));
    if (file.service(service.service) != nullptr) {
        reader.addError("name", "found \"" + service.service.value + "\" twice");
    }
    file.services.push_back(service);
}

void readPool(const toml::table &table, ConfigErrors &errors, FleetFile &file)
{
    TableReader reader(table, "pool.", errors);
    PoolEntrySpec pool;
    pool.pool = PoolId{reader.string("name")};
    pool.spec.minAvailable = static_cast<int>(reader.integer("min_available", 0, maxCount));
    const auto margin = reader.optionalInteger("margin", 0, maxCount);
    if (margin) {
        pool.spec.margin = static_cast<int>(*margin);
    }
    pool.spec.services = toIds<ServiceId>(reader.strings("services", false));
    pool.spec.lenders = toIds<PoolId>(reader.strings("lenders", false));
    for (const ServiceId &service : pool.spec.services) {
        if (file.service(service) == nullptr) {
            reader.addError("services", "found \"" + service.value + "\", allowed are names of [[service]] tables");
        }
    }
    const std::int64_t perDataCentre = reader.integer("instances_per_data_centre", 1, maxCount);
    InstanceSpec spec;
    spec.slots = static_cast<int>(reader.integer("slots", 1, maxCount, 8));
    spec.connections = static_cast<int>(reader.integer("connections", 1, maxCount, 64));
    const std::int64_t extra = reader.integer("extra_instances", 0, maxCount, 0);
    for (std::size_t dataCentreIndex = 0; dataCentreIndex < file.dataCentres.size(); ++dataCentreIndex) {
        const std::int64_t count = perDataCentre + (static_cast<std::int64_t>(dataCentreIndex) < extra ? 1 : 0);
        for (std::int64_t number = 1; number <= count; ++number) {
            spec.dataCentre = file.dataCentres[dataCentreIndex];
            const InstanceId id{pool.pool.value + "-" + spec.dataCentre.value + "-" + std::to_string(number)};
            file.instances.push_back({id, pool.pool, spec});
        }
    }
    file.pools.push_back(std::move(pool));
}

// Distributes the instances of each data centre over its racks in the order of the file, so that a rack holds instances of several pools.
void assignRacks(FleetFile &file, std::int64_t perRack)
{
    std::map<DataCentreId, std::int64_t> assignedInDataCentre;
    for (InstanceEntrySpec &entry : file.instances) {
        const std::int64_t position = assignedInDataCentre[entry.spec.dataCentre]++;
        const std::int64_t instancesInDataCentre = std::count_if(file.instances.begin(), file.instances.end(), [&entry](const InstanceEntrySpec &other) {
            return other.spec.dataCentre == entry.spec.dataCentre;
        });
        const std::int64_t racks = std::max<std::int64_t>(1, (instancesInDataCentre + perRack - 1) / perRack);
        entry.spec.rack = RackId{"rack-" + std::to_string(position % racks + 1)};
    }
}

void readSetting(const toml::table &table, ConfigErrors &errors, FleetFile &file)
{
    TableReader reader(table, "setting.", errors);
    SettingEntrySpec setting;
    setting.path = reader.string("path", "");
    setting.key = reader.string("key");
    setting.value = std::to_string(reader.integer("value", 0, maxDurationMs));
    if (const auto checked = checkSetting(setting.path, setting.key, setting.value); !checked) {
        reader.addError("key", describe(checked.error()));
    }
    file.settings.push_back(std::move(setting));
}

void checkLenders(const toml::table &root, ConfigErrors &errors, const FleetFile &file)
{
    std::set<PoolId> names;
    for (const PoolEntrySpec &pool : file.pools) {
        if (!names.insert(pool.pool).second) {
            errors.add(root.source(), "pool.name", "found \"" + pool.pool.value + "\" twice");
        }
    }
    for (const PoolEntrySpec &pool : file.pools) {
        for (const PoolId &lender : pool.spec.lenders) {
            if (!names.contains(lender)) {
                errors.add(root.source(), "pool.lenders", "found \"" + lender.value + "\", allowed are names of [[pool]] tables");
            }
        }
    }
}

void readRoot(const toml::table &root, ConfigErrors &errors, FleetFile &file)
{
    TableReader reader(root, "", errors);
    file.name = reader.string("name");
    file.dataCentres = toIds<DataCentreId>(reader.strings("data_centres", true));
    file.teams = toIds<TeamId>(reader.strings("teams", false));
    const std::int64_t perRack = reader.integer("workers_per_rack", 1, maxCount, 4);
    for (const toml::table *table : reader.tables("service")) {
        readService(*table, errors, file);
    }
    for (const toml::table *table : reader.tables("pool")) {
        readPool(*table, errors, file);
    }
    for (const toml::table *table : reader.tables("setting")) {
        readSetting(*table, errors, file);
    }
    checkLenders(root, errors, file);
    assignRacks(file, perRack);
}

RecordId makeContentRecordId(const RecordBody &body)
{
    const std::string text = encodeRecord(Record{RecordId{}, body});
    return RecordId{"fleet-" + std::to_string(XXH3_64bits(text.data(), text.size()))};
}

}

const ServiceSpec *FleetFile::service(const ServiceId &id) const
{
    const auto found = std::find_if(this->services.begin(), this->services.end(), [&id](const ServiceSpec &spec) {
        return spec.service == id;
    });
    return found == this->services.end() ? nullptr : &*found;
}

Result<FleetFile> parseFleetFile(std::string_view text, const std::string &name)
{
    const Result<toml::table> root = parseToml(text, name);
    if (!root) {
        return tl::unexpected(root.error());
    }
    ConfigErrors errors(name);
    FleetFile file;
    readRoot(*root, errors, file);
    if (const Result<void> checked = errors.result(); !checked) {
        return tl::unexpected(checked.error());
    }
    return file;
}

Result<FleetFile> readFleetFile(const std::string &path)
{
    const Result<std::string> text = readTextFile(path);
    if (!text) {
        return tl::unexpected(text.error());
    }
    return parseFleetFile(*text, path);
}

std::vector<Record> buildFleetRecords(const FleetFile &file)
{
    std::vector<Record> records;
    const auto add = [&records](RecordBody body) {
        RecordId id = makeContentRecordId(body);
        records.push_back(Record{std::move(id), std::move(body)});
    };
    for (const ServiceSpec &service : file.services) {
        add(DefineService{service.service, {service.workClass, service.idempotent}});
    }
    for (const PoolEntrySpec &pool : file.pools) {
        add(DefinePool{pool.pool, pool.spec});
    }
    for (const InstanceEntrySpec &entry : file.instances) {
        add(DefineInstance{entry.instance, entry.pool, entry.spec});
    }
    // Each change expects the revision that it has in a new fleet, so that publishing the file again cannot revert an operator's later change.
    Revision expected = 0;
    for (const SettingEntrySpec &setting : file.settings) {
        add(ChangeSetting{setting.path, setting.key, setting.value, expected});
        ++expected;
    }
    return records;
}

}
