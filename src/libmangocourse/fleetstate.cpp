// The fold of the fleet stream.
#include <mangocourse/fleetstate.h>

#include <algorithm>
#include <utility>

#include "fleetsnapshot_pvt.h"
#include "fleetstate_pvt.h"

namespace MangoCourse {

void FleetState::Private::refreshAvailability(const PoolId &id)
{
    Pool &pool = this->pools.at(id);
    pool.available = static_cast<int>(std::count_if(pool.members.begin(), pool.members.end(), [this](const InstanceId &member) {
        return this->instances.at(member).countsAsAvailable();
    }));
}

int FleetState::Private::margin(const Pool &pool) const
{
    if (pool.spec.margin) {
        return *pool.spec.margin;
    }
    std::map<std::pair<DataCentreId, RackId>, int> perRack;
    int largest = 0;
    for (const InstanceId &member : pool.members) {
        const InstanceSpec &spec = this->instances.at(member).spec;
        largest = std::max(largest, ++perRack[{spec.dataCentre, spec.rack}]);
    }
    return largest;
}

int FleetState::Private::headroom(const Pool &pool) const
{
    return std::max(0, pool.available - pool.spec.minAvailable - this->margin(pool));
}

Refusal FleetState::Private::accept(Offset /*offset*/, const DefinePool &body)
{
    if (body.pool.isEmpty() || body.spec.minAvailable < 0) {
        return Refusal::UnknownPool;
    }
    this->pools[body.pool].spec = body.spec;
    return Refusal::None;
}

Refusal FleetState::Private::accept(Offset /*offset*/, const DefineInstance &body)
{
    if (!this->pools.contains(body.pool)) {
        return Refusal::UnknownPool;
    }
    if (this->instances.contains(body.instance)) {
        return Refusal::AlreadyExists;
    }
    Instance instance;
    instance.spec = body.spec;
    instance.pool = body.pool;
    this->instances.emplace(body.instance, std::move(instance));
    this->pools.at(body.pool).members.insert(body.instance);
    this->refreshAvailability(body.pool);
    return Refusal::None;
}

Refusal FleetState::Private::accept(Offset /*offset*/, const DefineService &body)
{
    if (body.service.isEmpty()) {
        return Refusal::Undecodable;
    }
    this->services[body.service] = body.definition;
    return Refusal::None;
}

Refusal FleetState::Private::accept(Offset /*offset*/, const ChangeSetting &body)
{
    if (body.expected >= 0 && body.expected != this->settings.revision()) {
        return Refusal::StaleRevision;
    }
    if (!body.value) {
        this->settings.change(body.path, body.key, std::nullopt);
        return Refusal::None;
    }
    const Result<std::int64_t> value = checkSetting(body.path, body.key, *body.value);
    if (!value) {
        return Refusal::InvalidSetting;
    }
    this->settings.change(body.path, body.key, *value);
    return Refusal::None;
}

Refusal FleetState::Private::accept(Offset /*offset*/, const StartWave &body)
{
    const auto pool = this->pools.find(body.pool);
    if (pool == this->pools.end()) {
        return Refusal::UnknownPool;
    }
    if (body.wave.isEmpty() || this->waves.contains(body.wave)) {
        return Refusal::AlreadyExists;
    }
    const bool hasOpenWave = std::any_of(this->waves.begin(), this->waves.end(), [&body](const auto &entry) {
        const Wave &wave = entry.second;
        return wave.pool == body.pool && (wave.status == WaveStatus::Running || wave.status == WaveStatus::Paused);
    });
    if (hasOpenWave) {
        return Refusal::Busy;
    }
    Wave wave;
    wave.pool = body.pool;
    wave.remaining = pool->second.members;
    wave.status = wave.remaining.empty() ? WaveStatus::Finished : WaveStatus::Running;
    this->waves.emplace(body.wave, std::move(wave));
    return Refusal::None;
}

Refusal FleetState::Private::accept(Offset /*offset*/, const ControlWave &body)
{
    const auto found = this->waves.find(body.wave);
    if (found == this->waves.end()) {
        return Refusal::UnknownWave;
    }
    WaveStatus &status = found->second.status;
    if (status == WaveStatus::Aborted || status == WaveStatus::Finished) {
        return Refusal::AlreadyFinal;
    }
    WaveStatus wanted = WaveStatus::Paused;
    if (body.action == WaveAction::Resume) {
        wanted = WaveStatus::Running;
    } else if (body.action == WaveAction::Abort) {
        wanted = WaveStatus::Aborted;
    }
    if (status == wanted) {
        return Refusal::Unchanged;
    }
    status = wanted;
    return Refusal::None;
}

Refusal FleetState::Private::accept(Offset offset, const GrantMaintenance &body)
{
    const auto wave = this->waves.find(body.wave);
    if (wave == this->waves.end()) {
        return Refusal::UnknownWave;
    }
    if (wave->second.status != WaveStatus::Running) {
        return Refusal::WavePaused;
    }
    const auto found = this->instances.find(body.instance);
    if (found == this->instances.end()) {
        return Refusal::UnknownInstance;
    }
    Instance &instance = found->second;
    if (!wave->second.remaining.contains(body.instance)) {
        return Refusal::NotInWave;
    }
    if (instance.move || (instance.grant && instance.grant->isOpen())) {
        return Refusal::Busy;
    }
    // An instance that is down already costs the budget nothing more.
    if (instance.available && this->headroom(this->pools.at(instance.pool)) < 1) {
        return Refusal::BudgetExhausted;
    }
    instance.grant = Grant{body.wave, body.holder, offset, MaintenancePhase::Draining};
    this->refreshAvailability(instance.pool);
    return Refusal::None;
}

Refusal FleetState::Private::accept(Offset /*offset*/, const AdvanceMaintenance &body)
{
    const auto found = this->instances.find(body.instance);
    if (found == this->instances.end()) {
        return Refusal::UnknownInstance;
    }
    Instance &instance = found->second;
    if (!instance.grant || instance.grant->token != body.grant) {
        return Refusal::StaleToken;
    }
    const MaintenancePhase from = instance.grant->phase;
    // Handing back is proposed only once the platform shows the token closed, also while Rebooting.
    const bool isStep = (from == MaintenancePhase::Draining && body.phase == MaintenancePhase::Rebooting)
        || (instance.grant->isOpen() && body.phase == MaintenancePhase::HandedBack)
        || (from == MaintenancePhase::Rebooting && body.phase == MaintenancePhase::Returned);
    if (!isStep) {
        return Refusal::Unchanged;
    }
    instance.grant->phase = body.phase;
    if (body.phase == MaintenancePhase::Returned) {
        this->finishInWave(instance.grant->wave, body.instance);
    }
    this->refreshAvailability(instance.pool);
    return Refusal::None;
}

void FleetState::Private::finishInWave(const WaveId &id, const InstanceId &instance)
{
    const auto found = this->waves.find(id);
    if (found == this->waves.end()) {
        return;
    }
    Wave &wave = found->second;
    wave.remaining.erase(instance);
    ++wave.maintained;
    if (wave.remaining.empty() && wave.status != WaveStatus::Aborted) {
        wave.status = WaveStatus::Finished;
    }
}

Refusal FleetState::Private::accept(Offset /*offset*/, const ReportHealth &body)
{
    const auto found = this->instances.find(body.instance);
    if (found == this->instances.end()) {
        return Refusal::UnknownInstance;
    }
    if (found->second.available == body.available) {
        return Refusal::Unchanged;
    }
    found->second.available = body.available;
    this->refreshAvailability(found->second.pool);
    return Refusal::None;
}

Refusal FleetState::Private::accept(Offset offset, const StartMove &body)
{
    const auto found = this->instances.find(body.instance);
    if (found == this->instances.end()) {
        return Refusal::UnknownInstance;
    }
    if (!this->pools.contains(body.to)) {
        return Refusal::UnknownPool;
    }
    Instance &instance = found->second;
    if (instance.pool != body.from || body.from == body.to) {
        return Refusal::WrongPool;
    }
    if (instance.move || (instance.grant && instance.grant->isOpen())) {
        return Refusal::Busy;
    }
    if (instance.available && this->headroom(this->pools.at(instance.pool)) < 1) {
        return Refusal::BudgetExhausted;
    }
    instance.move = Move{body.to, offset};
    this->refreshAvailability(instance.pool);
    return Refusal::None;
}

Refusal FleetState::Private::accept(Offset /*offset*/, const FinishMove &body)
{
    const auto found = this->instances.find(body.instance);
    if (found == this->instances.end()) {
        return Refusal::UnknownInstance;
    }
    Instance &instance = found->second;
    if (!instance.move || instance.move->token != body.move) {
        return Refusal::StaleToken;
    }
    const PoolId from = instance.pool;
    if (!body.cancelled) {
        this->pools.at(from).members.erase(body.instance);
        instance.pool = instance.move->to;
        this->pools.at(instance.pool).members.insert(body.instance);
        this->dropFromWaves(body.instance);
    }
    instance.move.reset();
    this->refreshAvailability(from);
    this->refreshAvailability(instance.pool);
    return Refusal::None;
}

void FleetState::Private::dropFromWaves(const InstanceId &instance)
{
    for (auto &[id, wave] : this->waves) {
        if (wave.remaining.erase(instance) > 0 && wave.remaining.empty() && wave.status != WaveStatus::Aborted) {
            wave.status = WaveStatus::Finished;
        }
    }
}

FleetState::FleetState()
    : d(std::make_unique<Private>())
{
}

FleetState::~FleetState() = default;

FleetState::FleetState(const FleetState &other)
    : d(std::make_unique<Private>(*other.d))
{
}

FleetState::FleetState(FleetState &&other) noexcept = default;

FleetState &FleetState::operator=(const FleetState &other)
{
    if (this != &other) {
        this->d = std::make_unique<Private>(*other.d);
    }
    return *this;
}

FleetState &FleetState::operator=(FleetState &&other) noexcept = default;

RecordVerdict FleetState::apply(Offset offset, const Record &record)
{
    this->d->offset = offset;
    if (const auto earlier = this->d->verdicts.find(record.id)) {
        return *earlier;
    }
    const Refusal refusal = std::visit(
        [this, offset](const auto &body) {
            return this->d->accept(offset, body);
        },
        record.body);
    const RecordVerdict verdict{offset, refusal};
    this->d->verdicts.recordVerdict(record.id, verdict);
    return verdict;
}

RecordVerdict FleetState::skipUndecodable(Offset offset)
{
    this->d->offset = offset;
    return RecordVerdict{offset, Refusal::Undecodable};
}

std::optional<RecordVerdict> FleetState::verdictOf(const RecordId &id) const
{
    return this->d->verdicts.find(id);
}

Offset FleetState::offset() const
{
    return this->d->offset;
}

const std::map<PoolId, Pool> &FleetState::pools() const
{
    return this->d->pools;
}

const std::map<InstanceId, Instance> &FleetState::instances() const
{
    return this->d->instances;
}

const std::map<WaveId, Wave> &FleetState::waves() const
{
    return this->d->waves;
}

const std::map<ServiceId, ServiceDefinition> &FleetState::services() const
{
    return this->d->services;
}

const SettingsTree &FleetState::settings() const
{
    return this->d->settings;
}

const Instance *FleetState::instance(const InstanceId &id) const
{
    const auto found = this->d->instances.find(id);
    return found == this->d->instances.end() ? nullptr : &found->second;
}

const Pool *FleetState::pool(const PoolId &id) const
{
    const auto found = this->d->pools.find(id);
    return found == this->d->pools.end() ? nullptr : &found->second;
}

int FleetState::headroom(const PoolId &id) const
{
    const Pool *pool = this->pool(id);
    return pool == nullptr ? 0 : this->d->headroom(*pool);
}

int FleetState::margin(const PoolId &id) const
{
    const Pool *pool = this->pool(id);
    return pool == nullptr ? 0 : this->d->margin(*pool);
}

std::string FleetState::toJson() const
{
    return fleetToJson(*this->d).dump();
}

Result<FleetState> FleetState::fromJson(std::string_view text)
{
    FleetState state;
    const Result<void> read = fleetFromJson(text, *state.d);
    if (!read) {
        return tl::unexpected(read.error());
    }
    return state;
}

}
