/// Typed reading of a JSON document's fields, for the platform's settings. Each reader checks that
/// the field is there, has its type and is within bounds, and throws `SettingsError` with the file
/// and the field's path otherwise.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "core/model/types.hpp"
#include "io/http_client.hpp"

namespace bendspindle::config {

/// The fields of one JSON map, which must outlive the reader.
class FieldReader {
  public:
    /// `path` is the map's place in the file; empty: the document itself.
    FieldReader(std::string file, std::string path, const nlohmann::json& map);
    FieldReader(std::string file, std::string path, nlohmann::json&& map) = delete;

    /// The map in the field.
    [[nodiscard]] FieldReader map(const char* name) const;
    /// The maps of the list in the field.
    [[nodiscard]] std::vector<FieldReader> maps(const char* name) const;
    /// Text that is not empty.
    [[nodiscard]] std::string text(const char* name) const;
    [[nodiscard]] std::vector<std::string> texts(const char* name) const;
    /// A finite number from 0.
    [[nodiscard]] double number(const char* name) const;
    [[nodiscard]] double number_or(const char* name, double absent) const;
    /// A finite number above 0.
    [[nodiscard]] double positive(const char* name) const;
    [[nodiscard]] core::Seconds seconds(const char* name) const;
    [[nodiscard]] io::Endpoint endpoint(const char* name) const;

    /// Throws `SettingsError` for the field.
    [[noreturn]] void reject(const char* name, const char* reason) const;

  private:
    [[nodiscard]] std::string path_of(const char* name) const;
    [[nodiscard]] const nlohmann::json& at(const char* name) const;

    std::string file_;
    std::string path_;
    const nlohmann::json* map_;
};

}  // namespace bendspindle::config
