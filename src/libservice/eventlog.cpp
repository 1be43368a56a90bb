// Structured events over spdlog's asynchronous logger.
#include "eventlog.h"

#include <map>

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace MangoCourse {

namespace {

// Lines that wait for standard output.
constexpr std::size_t ringSize = 4096;

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

    void operator()(const std::string &text) const
    {
        appendEscaped(this->out, text);
    }
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
    std::shared_ptr<spdlog::details::thread_pool> pool;
    std::shared_ptr<spdlog::async_logger> logger;
    std::map<std::string, Budget, std::less<>> budgets;
    std::uint64_t suppressed = 0;

    // Returns whether the event may be written, and in `left` how many of its kind were left out before.
    bool admit(std::string_view event, EventWeight weight, std::uint64_t &left);
};

bool EventLog::Private::admit(std::string_view event, EventWeight weight, std::uint64_t &left)
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
    const std::uint32_t limit = weight == EventWeight::Essential ? this->budget * 10 : this->budget;
    if (state.used > limit) {
        ++state.left;
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
    this->flush();
}

std::unique_ptr<EventLog> EventLog::create(std::string process, std::uint32_t budget)
{
    auto impl = std::make_unique<Private>();
    impl->process = std::move(process);
    impl->budget = budget;
    impl->pool = std::make_shared<spdlog::details::thread_pool>(ringSize, 1);
    impl->logger = std::make_shared<spdlog::async_logger>(
        impl->process, std::make_shared<spdlog::sinks::stdout_sink_mt>(), impl->pool, spdlog::async_overflow_policy::overrun_oldest);
    impl->logger->set_pattern("%v");
    return std::unique_ptr<EventLog>(new EventLog(std::move(impl)));
}

void EventLog::emit(std::string_view event, std::initializer_list<EventField> fields, EventWeight weight)
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
    this->d->logger->info(std::string_view(line));
}

std::uint64_t EventLog::suppressed() const
{
    return this->d->suppressed + this->d->pool->overrun_counter();
}

void EventLog::flush()
{
    this->d->logger->flush();
}

}
