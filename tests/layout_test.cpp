// The core has no input, output, clock, thread or environment; the wire's words stay in the wire.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

namespace {

std::string text_of(const std::filesystem::path& file) {
    std::ostringstream out;
    out << std::ifstream(file).rdbuf();
    return out.str();
}

void expect_without(const std::filesystem::path& directory, const std::vector<std::string>& words) {
    for (const auto& entry : std::filesystem::directory_iterator(directory))
        for (const auto& word : words)
            EXPECT_EQ(text_of(entry.path()).find(word), std::string::npos)
                << entry.path() << " holds " << word;
}

TEST(Layout, CoreIsWithoutInputAndOutput) {
    expect_without(SOURCE_DIR "/src/core",
                   {"::now(", "<thread>", "<mutex>", "<fstream>", "<iostream>", "<sys/", "getenv",
                    "httplib", "spdlog", "\"wire/", "\"io/", "\"app/", "random_device"});
}

TEST(Layout, WireWordsStayInTheWire) {
    for (const auto* part : {"/src/core", "/src/io", "/src/app"})
        expect_without(std::string(SOURCE_DIR) + part,
                       {"baton", "stow_s", "notch_s", "\"lane\"", "\"crew\"", "ledger_tick",
                        "loaners", "wind_down"});
}

}  // namespace
