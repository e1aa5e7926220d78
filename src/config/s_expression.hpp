/// Reader of the operators' files, operator.sexp and admission.sexp: one S-expression, which is a
/// list of entries; each entry is a list of words. A file has at most 64 KiB without its comments.
#pragma once

#include <functional>
#include <string>
#include <vector>

namespace bendspindle::config {

using Entry = std::vector<std::string>;

/// Calls `accept` for each entry of the file, in order. Throws `SettingsError` if `accept` returns
/// false or the file is not a list of entries; `expected_form` describes a valid entry in the error
/// message.
void for_each_entry(const std::string& file, const std::string& expected_form,
                    const std::function<bool(const Entry&)>& accept);

/// Parses the value of the field as a finite number that is at least 0; throws `SettingsError` if
/// it is not.
[[nodiscard]] double non_negative(const std::string& file, const std::string& field,
                                  const std::string& value);
/// Parses the value of the field as a finite number above 0; throws `SettingsError` if it is not.
[[nodiscard]] double positive(const std::string& file, const std::string& field,
                              const std::string& value);

}  // namespace bendspindle::config
