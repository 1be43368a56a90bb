// Validation of fleet files and the records that publish them.
#include <mangocourse/fleetfile.h>

#include <algorithm>
#include <set>

#include <xxhash.h>

#include <mangocourse/settingstree.h>

#include "textfile_pvt.h"
#include "tomlreader_pvt.h"

namespace MangoCourse {

namespace {

constexpr std::int64_t largestCount = 100'000;
constexpr std::int64_t longestMs = 86'400'000;
constexpr std::int64_t largestBody = 1024 * 1024 * 1024;

template<typename IdType>
std::vector<IdType> toIds(const std::vector<std::string> &names)
{
    std::vector<IdType> ids;
    for (const std::string &name : names) {
        ids.push_back(IdType{name});
    }
    return ids;
}

void readService(const toml::table &table, ConfigFaults &faults, FleetFile &file)
{
    TableReader reader(table, "service.", faults);
    ServiceSpec service;
    service.service = ServiceId{reader.string("name")};
    const std::string className = reader.string("class");
    const std::optional<WorkClass> workClass = parseWorkClass(className);
    if (!workClass) {
        reader.fault("class", "found \"" + className + "\", allowed are counter, shop and overnight");
    }
    service.workClass = workClass.value_or(WorkClass::Counter);
    service.idempotent = reader.boolean("idempotent", true);
    service.runTime = std::chrono::milliseconds(reader.integer("run_time_ms", 0, longestMs));
    service.requestsPerSecond = reader.number("requests_per_second", 0, largestCount);
    service.responseDeadline = std::chrono::milliseconds(reader.integer("answer_within_ms", 1, longestMs));
    service.bodyBytes = static_cast<int>(reader.integer("body_bytes", 0, largestBody, 1024));
    if (file.service(service.service) != nullptr) {
        reader.fault("name", "found \"" + service.service.value + "\" twice");
    }
    file.services.push_back(service);
}

void readPool(const toml::table &table, ConfigFaults &faults, FleetFile &file)
{
    TableReader reader(table, "pool.", faults);
    PoolEntrySpec pool;
    pool.pool = PoolId{reader.string("name")};
    pool.spec.minAvailable = static_cast<int>(reader.integer("min_available", 0, largestCount));
    const auto margin = reader.optionalInteger("margin", 0, largestCount);
    if (margin) {
        pool.spec.margin = static_cast<int>(*margin);
    }
    pool.spec.services = toIds<ServiceId>(reader.strings("services", false));
    pool.spec.lenders = toIds<PoolId>(reader.strings("lenders", false));
    for (const ServiceId &service : pool.spec.services) {
        if (file.service(service) == nullptr) {
            reader.fault("services", "found \"" + service.value + "\", allowed are names of [[service]] tables");
        }
    }
    const std::int64_t perDataCentre = reader.integer("instances_per_data_centre", 1, largestCount);
    InstanceSpec spec;
    spec.slots = static_cast<int>(reader.integer("slots", 1, largestCount, 8));
    spec.connections = static_cast<int>(reader.integer("connections", 1, largestCount, 64));
    const std::int64_t extra = reader.integer("extra_instances", 0, largestCount, 0);
    for (std::size_t centre = 0; centre < file.dataCentres.size(); ++centre) {
        const std::int64_t count = perDataCentre + (static_cast<std::int64_t>(centre) < extra ? 1 : 0);
        for (std::int64_t number = 1; number <= count; ++number) {
            spec.dataCentre = file.dataCentres[centre];
            const InstanceId id{pool.pool.value + "-" + spec.dataCentre.value + "-" + std::to_string(number)};
            file.instances.push_back({id, pool.pool, spec});
        }
    }
    file.pools.push_back(std::move(pool));
}

// Fills racks in the order of the file, data centre by data centre, so that a rack holds instances of several pools.
void assignRacks(FleetFile &file, std::int64_t perRack)
{
    std::map<DataCentreId, std::int64_t> placed;
    for (InstanceEntrySpec &entry : file.instances) {
        const std::int64_t position = placed[entry.spec.dataCentre]++;
        const std::int64_t perCentre = std::count_if(file.instances.begin(), file.instances.end(), [&entry](const InstanceEntrySpec &other) {
            return other.spec.dataCentre == entry.spec.dataCentre;
        });
        const std::int64_t racks = std::max<std::int64_t>(1, (perCentre + perRack - 1) / perRack);
        entry.spec.rack = RackId{"rack-" + std::to_string(position % racks + 1)};
    }
}

void readSetting(const toml::table &table, ConfigFaults &faults, FleetFile &file)
{
    TableReader reader(table, "setting.", faults);
    SettingEntrySpec setting;
    setting.path = reader.string("path", "");
    setting.key = reader.string("key");
    setting.value = std::to_string(reader.integer("value", 0, longestMs));
    if (const auto checked = checkSetting(setting.path, setting.key, setting.value); !checked) {
        reader.fault("key", describe(checked.error()));
    }
    file.settings.push_back(std::move(setting));
}

void checkLenders(const toml::table &root, ConfigFaults &faults, const FleetFile &file)
{
    std::set<PoolId> names;
    for (const PoolEntrySpec &pool : file.pools) {
        if (!names.insert(pool.pool).second) {
            faults.add(root.source(), "pool.name", "found \"" + pool.pool.value + "\" twice");
        }
    }
    for (const PoolEntrySpec &pool : file.pools) {
        for (const PoolId &lender : pool.spec.lenders) {
            if (!names.contains(lender)) {
                faults.add(root.source(), "pool.lenders", "found \"" + lender.value + "\", allowed are names of [[pool]] tables");
            }
        }
    }
}

void readRoot(const toml::table &root, ConfigFaults &faults, FleetFile &file)
{
    TableReader reader(root, "", faults);
    file.name = reader.string("name");
    file.dataCentres = toIds<DataCentreId>(reader.strings("data_centres", true));
    file.teams = toIds<TeamId>(reader.strings("teams", false));
    const std::int64_t perRack = reader.integer("workers_per_rack", 1, largestCount, 4);
    for (const toml::table *table : reader.tables("service")) {
        readService(*table, faults, file);
    }
    for (const toml::table *table : reader.tables("pool")) {
        readPool(*table, faults, file);
    }
    for (const toml::table *table : reader.tables("setting")) {
        readSetting(*table, faults, file);
    }
    checkLenders(root, faults, file);
    assignRacks(file, perRack);
}

RecordId contentId(const RecordBody &body)
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
    ConfigFaults faults(name);
    FleetFile file;
    readRoot(*root, faults, file);
    if (const Result<void> checked = faults.result(); !checked) {
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
        RecordId id = contentId(body);
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
    // Each expects the revision of a fresh fleet, so that publishing the file again cannot undo an operator's later change.
    Revision expected = 0;
    for (const SettingEntrySpec &setting : file.settings) {
        add(ChangeSetting{setting.path, setting.key, setting.value, expected});
        ++expected;
    }
    return records;
}

}
