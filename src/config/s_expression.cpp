#include "config/s_expression.hpp"

#include <sfsexp/sexp.h>

#include <algorithm>
#include <cmath>
#include <memory>
#include <optional>
#include <sstream>

#include "config/settings_error.hpp"
#include "config/text_file.hpp"

namespace bendspindle::config {

namespace {

// The library recurses for each level and for each expression in a list.
constexpr std::size_t max_file_bytes = 64 * 1024;
constexpr int max_depth = 16;

struct DestroyExpression {
    void operator()(sexp_t* expression) const { destroy_sexp(expression); }
};
using Expression = std::unique_ptr<sexp_t, DestroyExpression>;

// Removes comments, which the library does not support. It parses only the first expression of the
// text.
std::string without_comments(const std::string& text) {
    std::istringstream lines(text);
    std::string stripped;
    for (std::string line; std::getline(lines, line);)
        stripped += line.substr(0, line.find(';')) + "\n";
    return stripped;
}

bool is_nested_too_deeply(const std::string& text) {
    int depth = 0;
    int deepest = 0;
    for (const char c : text) {
        if (c == '(') deepest = std::max(deepest, ++depth);
        if (c == ')') depth = std::max(0, depth - 1);
    }
    return deepest > max_depth;
}

Expression parse(const std::string& file) {
    auto text = without_comments(read_text_file(file));
    if (text.size() > max_file_bytes)
        throw SettingsError(file, "is larger than " + std::to_string(max_file_bytes) + " bytes");
    if (is_nested_too_deeply(text)) throw SettingsError(file, "is nested too deeply");
    return Expression(parse_sexp(text.data(), text.size()));
}

std::optional<Entry> read_entry(const sexp_t& expression) {
    if (expression.ty != SEXP_LIST) return std::nullopt;
    Entry entry;
    for (const sexp_t* word = expression.list; word; word = word->next) {
        if (word->ty != SEXP_VALUE) return std::nullopt;
        entry.emplace_back(word->val);
    }
    return entry;
}

}  // namespace

void for_each_entry(const std::string& file, const std::string& expected_form,
                    const std::function<bool(const Entry&)>& accept) {
    const auto root = parse(file);
    if (!root || root->ty != SEXP_LIST) throw SettingsError(file, "is not an S-expression list");
    for (const sexp_t* expression = root->list; expression; expression = expression->next) {
        const auto entry = read_entry(*expression);
        if (!entry || !accept(*entry))
            throw SettingsError(file, "an entry is not " + expected_form);
    }
}

double non_negative(const std::string& file, const std::string& field, const std::string& value) {
    std::size_t used = 0;
    double number = -1;
    try {
        number = std::stod(value, &used);
    } catch (const std::exception&) {
        used = 0;
    }
    if (used != value.size() || !std::isfinite(number) || number < 0)
        throw SettingsError(file, field, "must be a number from 0");
    return number;
}

double positive(const std::string& file, const std::string& field, const std::string& value) {
    const auto number = non_negative(file, field, value);
    if (number <= 0) throw SettingsError(file, field, "must be a number above 0");
    return number;
}

}  // namespace bendspindle::config
