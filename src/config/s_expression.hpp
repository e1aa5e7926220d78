/// The operators' files: one S-expression, a list of entries, each a list of words. Read here for
/// operator.sexp and admission.sexp alike.
#pragma once

#include <functional>
#include <string>
#include <vector>

namespace bendspindle::config {

using Entry = std::vector<std::string>;

/// Calls `accept` with each entry of the file, in order. `shape` says in the error line what an
/// entry looks like: it is thrown as `SettingsError` where `accept` returns false or the file has
/// another form.
void for_each_entry(const std::string& file, const std::string& shape,
                    const std::function<bool(const Entry&)>& accept);

/// The value of the field as a finite number from 0, or above 0; throws `SettingsError` otherwise.
[[nodiscard]] double non_negative(const std::string& file, const std::string& field,
                                  const std::string& value);
[[nodiscard]] double positive(const std::string& file, const std::string& field,
                              const std::string& value);

}  // namespace bendspindle::config
