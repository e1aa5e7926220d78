/// Typed access to the fields of a JSON document, for the platform settings. Each accessor checks
/// that the field exists, has the expected type and is within bounds, and otherwise throws
/// `SettingsError` with the file and the path of the field.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "core/model/types.hpp"
#include "io/http_client.hpp"

namespace bendspindle::config {

/// Reads the fields of one JSON map, which must outlive the reader.
class FieldReader {
  public:
    /// `path` is the path of the map in the file; empty for the document itself.
    FieldReader(std::string file, std::string path, const nlohmann::json& map);
    FieldReader(std::string file, std::string path, nlohmann::json&& map) = delete;

    /// Returns a reader of the map in the field.
    [[nodiscard]] FieldReader map(const char* name) const;
    /// Returns a reader of each map in the list of the field.
    [[nodiscard]] std::vector<FieldReader> maps(const char* name) const;
    /// Returns the non-empty text of the field.
    [[nodiscard]] std::string text(const char* name) const;
    /// Returns the texts in the list of the field.
    [[nodiscard]] std::vector<std::string> texts(const char* name) const;
    /// Returns the field as a finite number that is at least 0.
    [[nodiscard]] double number(const char* name) const;
    /// Returns `default_value` if the field does not exist.
    [[nodiscard]] double number_or(const char* name, double default_value) const;
    /// Returns the field as a finite number above 0.
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
