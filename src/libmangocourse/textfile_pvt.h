// Reads text files and parses TOML text; errors are returned as results.
#pragma once

#include <fstream>
#include <sstream>
#include <string>

#include <toml++/toml.h>

#include <mangocourse/error.h>

namespace MangoCourse {

inline Result<std::string> readTextFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return makeError(ErrorCode::InvalidConfig, "cannot be read", path);
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

inline Result<toml::table> parseToml(std::string_view text, const std::string &name)
{
    // toml++ reports syntax errors by exceptions, which become errors here.
    try {
        return toml::parse(text, name);
    } catch (const toml::parse_error &error) {
        return makeError(ErrorCode::InvalidConfig, name + ":" + std::to_string(error.source().begin.line) + ": " + std::string(error.description()));
    }
}

}
