#include "config/field_reader.hpp"

#include <cmath>
#include <utility>

#include "config/settings_error.hpp"

namespace bendspindle::config {

FieldReader::FieldReader(std::string file, std::string path, const nlohmann::json& map)
    : file_(std::move(file)), path_(std::move(path)), map_(&map) {
    if (!map.is_object()) throw SettingsError(file_, path_, "is not a map");
}

FieldReader FieldReader::map(const char* name) const {
    return FieldReader(file_, path_of(name), at(name));
}

std::vector<FieldReader> FieldReader::maps(const char* name) const {
    const auto& list = at(name);
    if (!list.is_array()) reject(name, "is not a list");
    std::vector<FieldReader> readers;
    for (std::size_t i = 0; i < list.size(); ++i)
        readers.emplace_back(file_, path_of(name) + "[" + std::to_string(i) + "]", list[i]);
    return readers;
}

std::string FieldReader::text(const char* name) const {
    const auto& value = at(name);
    if (!value.is_string() || value.get_ref<const std::string&>().empty())
        reject(name, "is not text");
    return value.get<std::string>();
}

std::vector<std::string> FieldReader::texts(const char* name) const {
    const auto& list = at(name);
    if (!list.is_array()) reject(name, "is not a list");
    std::vector<std::string> texts;
    for (const auto& element : list) {
        if (!element.is_string()) reject(name, "holds what is not text");
        texts.push_back(element.get<std::string>());
    }
    return texts;
}

double FieldReader::number(const char* name) const {
    const auto& value = at(name);
    if (!value.is_number()) reject(name, "is not a number");
    const double number = value.get<double>();
    if (!std::isfinite(number) || number < 0) reject(name, "is out of range");
    return number;
}

double FieldReader::number_or(const char* name, double default_value) const {
    return map_->contains(name) ? number(name) : default_value;
}

double FieldReader::positive(const char* name) const {
    const double value = number(name);
    if (value <= 0) reject(name, "must be more than 0");
    return value;
}

core::Seconds FieldReader::seconds(const char* name) const {
    return core::Seconds(positive(name));
}

io::Endpoint FieldReader::endpoint(const char* name) const {
    const auto parsed = io::parse_endpoint(text(name));
    if (!parsed) reject(name, "is not HOST:PORT");
    return *parsed;
}

void FieldReader::reject(const char* name, const char* reason) const {
    throw SettingsError(file_, path_of(name), reason);
}

std::string FieldReader::path_of(const char* name) const {
    return path_.empty() ? std::string(name) : path_ + "." + name;
}

const nlohmann::json& FieldReader::at(const char* name) const {
    const auto it = map_->find(name);
    if (it == map_->end()) reject(name, "is missing");
    return *it;
}

}  // namespace bendspindle::config
