// spdlog formatter that turns "event=NAME key=value" messages into JSON lines.
#include "logging.h"

#include <nlohmann/json.hpp>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace MangoCourse {

namespace {

// Splits the message at spaces that precede "key="; any other word belongs to the value before it.
nlohmann::ordered_json parseFields(std::string_view message)
{
    nlohmann::ordered_json fields;
    std::string lastKey = "event";
    while (!message.empty()) {
        const auto space = message.find(' ');
        const std::string_view word = message.substr(0, space);
        const auto equals = word.find('=');
        if (equals != std::string_view::npos && equals > 0) {
            lastKey = std::string(word.substr(0, equals));
            fields[lastKey] = std::string(word.substr(equals + 1));
        } else {
            const std::string prefix = fields.contains(lastKey) ? fields[lastKey].get<std::string>() + " " : "";
            fields[lastKey] = prefix + std::string(word);
        }
        message = space == std::string_view::npos ? std::string_view{} : message.substr(space + 1);
    }
    return fields;
}

class JsonFormatter : public spdlog::formatter
{
public:
    explicit JsonFormatter(std::string process)
        : process(std::move(process))
    {
    }

    void format(const spdlog::details::log_msg &message, spdlog::memory_buf_t &out) override
    {
        nlohmann::ordered_json line;
        line["ts_us"] = std::chrono::duration_cast<std::chrono::microseconds>(message.time.time_since_epoch()).count();
        const auto level = spdlog::level::to_string_view(message.level);
        line["level"] = std::string(level.data(), level.size());
        line["process"] = this->process;
        line.update(parseFields({message.payload.data(), message.payload.size()}));
        const std::string text = line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace) + "\n";
        out.append(text.data(), text.data() + text.size());
    }

    std::unique_ptr<spdlog::formatter> clone() const override
    {
        return std::make_unique<JsonFormatter>(this->process);
    }

private:
    std::string process;
};

}

void startLogging(const std::string &process, const std::string &level)
{
    auto logger = std::make_shared<spdlog::logger>(process, std::make_shared<spdlog::sinks::stderr_sink_mt>());
    logger->set_formatter(std::make_unique<JsonFormatter>(process));
    logger->set_level(spdlog::level::from_str(level));
    logger->flush_on(spdlog::level::info);
    spdlog::set_default_logger(std::move(logger));
}

}
