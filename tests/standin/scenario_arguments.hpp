// The words of one line of a scenario: a verb, positional arguments, and `name=value` options.
#pragma once

#include <sstream>
#include <string>
#include <vector>

namespace bendspindle::standin {

inline std::vector<std::string> split(const std::string& text, char by) {
    std::vector<std::string> parts;
    std::string part;
    std::istringstream in(text);
    while (std::getline(in, part, by))
        if (!part.empty()) parts.push_back(part);
    return parts;
}

class ScenarioArguments {
  public:
    // What follows a `#` is a comment.
    explicit ScenarioArguments(const std::string& line)
        : words_(split(line.substr(0, line.find('#')), ' ')) {}

    bool empty() const { return words_.empty(); }
    std::size_t size() const { return words_.size(); }
    const std::string& verb() const { return words_.at(0); }
    // Throws std::out_of_range if the line is too short.
    const std::string& at(std::size_t position) const { return words_.at(position); }
    double number_at(std::size_t position) const { return std::stod(at(position)); }
    std::size_t count_at(std::size_t position) const { return std::stoul(at(position)); }
    bool yes_at(std::size_t position) const { return at(position) == "yes"; }

    std::string option(const std::string& name, const std::string& default_value = "") const {
        for (const auto& word : words_)
            if (word.starts_with(name + "=")) return word.substr(name.size() + 1);
        return default_value;
    }
    double number(const std::string& name, double default_value) const {
        const auto text = option(name);
        return text.empty() ? default_value : std::stod(text);
    }
    bool yes(const std::string& name) const { return option(name) == "yes"; }

    std::string text() const {
        std::string all;
        for (const auto& word : words_) all += word + " ";
        return all;
    }

  private:
    std::vector<std::string> words_;
};

}  // namespace bendspindle::standin
