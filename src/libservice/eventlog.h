// Structured events on standard output: one JSON line each, bounded in number, never blocking.
#pragma once

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace MangoCourse {

// A value keeps its type in the line: text is quoted and escaped, numbers and truth values are not. Text need only live until the call ends.
using EventValue = std::variant<std::string_view, const char *, std::int64_t, double, bool>;

struct EventField {
    std::string_view name;
    EventValue value;
};

// Whether an event may be left out under load. Refusals and losses are Essential.
enum class EventPriority {
    Routine,
    Essential,
};

// Writes through a bounded buffer that a thread of its own empties some times a second; lines that find it full are dropped and counted.
class EventLog
{
public:
    // `budget` is the number of routine lines that one event name may write in a second.
    static std::unique_ptr<EventLog> create(std::string process, std::uint32_t budget);
    ~EventLog();

    void emit(std::string_view event, std::initializer_list<EventField> fields, EventPriority weight = EventPriority::Routine);

    // Lines left out so far.
    std::uint64_t suppressed() const;

    // Writes what the buffer holds. Call before the process ends.
    void flush();

private:
    class Private;
    explicit EventLog(std::unique_ptr<Private> impl);
    std::unique_ptr<Private> d;
};

}
