// Structured events, gathered by a thread of their own and written through spdlog.
#include "eventlog.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace MangoCourse {

namespace {

// Bytes that wait for standard output at most.
constexpr std::size_t bufferLimit = 1024 * 1024;
// Lines that come within this time are written together: each wake-up of the writer costs processor time.
constexpr std::chrono::milliseconds gatherTime{25};

void appendEscaped(std::string &out, std::string_view text)
{
    out += '"';
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (character == '"' || character == '\\') {
            out += '\\';
            out += character;
        } else if (byte < 0x20 || byte >= 0x7f) {
            fmt::format_to(std::back_inserter(out), "\\u{:04x}", byte);
        } else {
            out += character;
        }
    }
    out += '"';
}

struct ValueWriter {
    std::string &out;

    void operator()(std::string_view text) const
    {
        appendEscaped(this->out, text);
    }
    void operator()(const char *text) const
    {
        appendEscaped(this->out, text);
    }
    void operator()(std::int64_t number) const
    {
        this->out += std::to_string(number);
    }
    void operator()(double number) const
    {
        fmt::format_to(std::back_inserter(this->out), "{:.3f}", number);
    }
    void operator()(bool value) const
    {
        this->out += value ? "true" : "false";
    }
};

struct Budget {
    std::chrono::steady_clock::time_point windowStart{};
    std::uint32_t used = 0;
    std::uint64_t left = 0;
};

}

class EventLog::Private
{
public:
    std::string process;
    std::uint32_t budget = 0;
    std::shared_ptr<spdlog::logger> logger;
    std::map<std::string, Budget, std::less<>> budgets;
    std::uint64_t suppressed = 0;

    // Guards what the writer shares: the lines that wait, how many found no room, and whether the log ends.
    std::mutex mutex;
    std::condition_variable changed;
    std::string pending;
    bool isEnding = false;
    std::thread writer;

    // Returns whether the event may be written, and in `left` how many of its kind were left out before.
    bool admit(std::string_view event, EventPriority weight, std::uint64_t &left);
    void put(std::string_view line);
    void writePending();
    void runWriter();
};

void EventLog::Private::put(std::string_view line)
{
    const std::lock_guard lock(this->mutex);
    if (this->pending.size() + line.size() > bufferLimit) {
        ++this->suppressed;
        return;
    }
    const bool wasEmpty = this->pending.empty();
    this->pending += line;
    this->pending += '\n';
    if (wasEmpty) {
        this->changed.notify_one();
    }
}

void EventLog::Private::writePending()
{
    std::string lines;
    {
        const std::lock_guard lock(this->mutex);
        lines.swap(this->pending);
    }
    if (!lines.empty()) {
        lines.pop_back();
        this->logger->info(std::string_view(lines));
        this->logger->flush();
    }
}

void EventLog::Private::runWriter()
{
    std::unique_lock lock(this->mutex);
    while (!this->isEnding) {
        this->changed.wait(lock, [this] {
            return this->isEnding || !this->pending.empty();
        });
        this->changed.wait_for(lock, gatherTime, [this] {
            return this->isEnding;
        });
        lock.unlock();
        this->writePending();
        lock.lock();
    }
}

bool EventLog::Private::admit(std::string_view event, EventPriority weight, std::uint64_t &left)
{
    auto found = this->budgets.find(event);
    if (found == this->budgets.end()) {
        found = this->budgets.emplace(std::string(event), Budget{}).first;
    }
    Budget &state = found->second;
    const auto now = std::chrono::steady_clock::now();
    if (now - state.windowStart > std::chrono::seconds(1)) {
        state.windowStart = now;
        state.used = 0;
    }
    ++state.used;
    // Essential events have ten times the room, so that they are the last to go.
    const std::uint32_t limit = weight == EventPriority::Essential ? this->budget * 10 : this->budget;
    if (state.used > limit) {
        ++state.left;
        const std::lock_guard lock(this->mutex);
        ++this->suppressed;
        return false;
    }
    left = state.left;
    state.left = 0;
    return true;
}

EventLog::EventLog(std::unique_ptr<Private> impl)
    : d(std::move(impl))
{
}

EventLog::~EventLog()
{
    {
        const std::lock_guard lock(this->d->mutex);
        this->d->isEnding = true;
    }
    this->d->changed.notify_one();
    this->d->writer.join();
    this->flush();
}

std::unique_ptr<EventLog> EventLog::create(std::string process, std::uint32_t budget)
{
    auto impl = std::make_unique<Private>();
    impl->process = std::move(process);
    impl->budget = budget;
    impl->logger = std::make_shared<spdlog::logger>(impl->process, std::make_shared<spdlog::sinks::stdout_sink_mt>());
    impl->logger->set_pattern("%v");
    impl->writer = std::thread([raw = impl.get()] {
        raw->runWriter();
    });
    return std::unique_ptr<EventLog>(new EventLog(std::move(impl)));
}

void EventLog::emit(std::string_view event, std::initializer_list<EventField> fields, EventPriority weight)
{
    std::uint64_t left = 0;
    if (!this->d->admit(event, weight, left)) {
        return;
    }
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    std::string line;
    line.reserve(256);
    fmt::format_to(std::back_inserter(line), "{{\"ts_ms\":{},\"process\":", std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
    appendEscaped(line, this->d->process);
    line += ",\"event\":";
    appendEscaped(line, event);
    for (const EventField &field : fields) {
        line += ',';
        appendEscaped(line, field.name);
        line += ':';
        std::visit(ValueWriter{line}, field.value);
    }
    if (left > 0) {
        fmt::format_to(std::back_inserter(line), ",\"left_out\":{}", left);
    }
    line += '}';
    this->d->put(line);
}

std::uint64_t EventLog::suppressed() const
{
    const std::lock_guard lock(this->d->mutex);
    return this->d->suppressed;
}

void EventLog::flush()
{
    this->d->writePending();
}

}
