// Structured events, buffered and written by a separate thread through spdlog.
#include "eventlog.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace MangoCourse {

namespace {

// Lines beyond this many buffered bytes are dropped.
constexpr std::size_t maxBufferedBytes = 1024 * 1024;
// Lines that arrive within this time are written together, since each wake-up of the writer costs processor time.
constexpr std::chrono::milliseconds batchInterval{25};

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

struct RateWindow {
    std::chrono::steady_clock::time_point start{};
    std::uint32_t count = 0;
    std::uint64_t dropped = 0;
};

}

class EventLog::Private
{
public:
    std::string process;
    std::uint32_t routineLinesPerSecond = 0;
    std::shared_ptr<spdlog::logger> logger;
    std::map<std::string, RateWindow, std::less<>> rateWindows;
    std::uint64_t suppressed = 0;

    // Guards the state shared with the writer: `pending`, `suppressed` and `isStopping`.
    std::mutex mutex;
    std::condition_variable changed;
    std::string pending;
    bool isStopping = false;
    std::thread writer;

    // Returns whether the event is within its rate limit. Sets `droppedBefore` to the number of lines of
    // this event that exceeded the limit since the last one written.
    bool admit(std::string_view event, EventPriority priority, std::uint64_t &droppedBefore);
    void enqueue(std::string_view line);
    void writePending();
    void runWriter();
};

void EventLog::Private::enqueue(std::string_view line)
{
    const std::lock_guard lock(this->mutex);
    if (this->pending.size() + line.size() > maxBufferedBytes) {
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
    while (!this->isStopping) {
        this->changed.wait(lock, [this] {
            return this->isStopping || !this->pending.empty();
        });
        this->changed.wait_for(lock, batchInterval, [this] {
            return this->isStopping;
        });
        lock.unlock();
        this->writePending();
        lock.lock();
    }
}

bool EventLog::Private::admit(std::string_view event, EventPriority priority, std::uint64_t &droppedBefore)
{
    auto found = this->rateWindows.find(event);
    if (found == this->rateWindows.end()) {
        found = this->rateWindows.emplace(std::string(event), RateWindow{}).first;
    }
    RateWindow &window = found->second;
    const auto now = std::chrono::steady_clock::now();
    if (now - window.start > std::chrono::seconds(1)) {
        window.start = now;
        window.count = 0;
    }
    ++window.count;
    // Essential events have a limit ten times as high, so that they are dropped last.
    const std::uint32_t linesPerSecond = priority == EventPriority::Essential ? this->routineLinesPerSecond * 10 : this->routineLinesPerSecond;
    if (window.count > linesPerSecond) {
        ++window.dropped;
        const std::lock_guard lock(this->mutex);
        ++this->suppressed;
        return false;
    }
    droppedBefore = window.dropped;
    window.dropped = 0;
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
        this->d->isStopping = true;
    }
    this->d->changed.notify_one();
    this->d->writer.join();
    this->flush();
}

std::unique_ptr<EventLog> EventLog::create(std::string process, std::uint32_t routineLinesPerSecond)
{
    auto impl = std::make_unique<Private>();
    impl->process = std::move(process);
    impl->routineLinesPerSecond = routineLinesPerSecond;
    impl->logger = std::make_shared<spdlog::logger>(impl->process, std::make_shared<spdlog::sinks::stdout_sink_mt>());
    impl->logger->set_pattern("%v");
    impl->writer = std::thread([self = impl.get()] {
        self->runWriter();
    });
    return std::unique_ptr<EventLog>(new EventLog(std::move(impl)));
}

void EventLog::emit(std::string_view event, std::initializer_list<EventField> fields, EventPriority priority)
{
    std::uint64_t droppedBefore = 0;
    if (!this->d->admit(event, priority, droppedBefore)) {
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
    if (droppedBefore > 0) {
        fmt::format_to(std::back_inserter(line), ",\"left_out\":{}", droppedBefore);
    }
    line += '}';
    this->d->enqueue(line);
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
