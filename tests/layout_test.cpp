// Directories of src are libraries, and depend on each other in one direction. The core has no
// input, output, clock, thread or environment; the wire's words stay in the wire.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <regex>
#include <set>
#include <sstream>

namespace {

namespace fs = std::filesystem;

std::string text_of(const fs::path& file) {
    std::ostringstream out;
    out << std::ifstream(file).rdbuf();
    return out.str();
}

std::vector<fs::path> sources_below(const fs::path& directory) {
    std::vector<fs::path> files;
    for (const auto& entry : fs::recursive_directory_iterator(directory))
        if (entry.is_regular_file()) files.push_back(entry.path());
    EXPECT_FALSE(files.empty()) << directory;
    return files;
}

void expect_without(const fs::path& directory, const std::vector<std::string>& words) {
    for (const auto& file : sources_below(directory))
        for (const auto& word : words)
            EXPECT_EQ(text_of(file).find(word), std::string::npos) << file << " holds " << word;
}

// The first directory of each file that is included by its path below src.
std::set<std::string> directories_included_by(const fs::path& file) {
    static const std::regex include("#include \"([a-z_]+)/");
    const auto text = text_of(file);
    std::set<std::string> found;
    for (std::sregex_iterator it(text.begin(), text.end(), include), end; it != end; ++it)
        found.insert((*it)[1]);
    return found;
}

TEST(Layout, CoreIsWithoutInputAndOutput) {
    expect_without(SOURCE_DIR "/src/core",
                   {"::now(", "<thread>", "<mutex>", "<fstream>", "<iostream>", "<sys/", "getenv",
                    "httplib", "spdlog", "random_device"});
}

TEST(Layout, WireWordsStayInTheWire) {
    for (const auto& entry : fs::directory_iterator(SOURCE_DIR "/src"))
        if (entry.path().filename() != "wire")
            expect_without(entry.path(), {"baton", "stow_s", "notch_s", "\"lane\"", "\"crew\"",
                                          "ledger_tick", "loaners", "wind_down"});
}

TEST(Layout, DirectoriesDependInOneDirection) {
    const std::map<std::string, std::set<std::string>> allowed{
        {"fair_share", {}},
        {"core", {"fair_share"}},
        {"wire", {"core"}},
        {"io", {"wire", "core"}},
        {"config", {"io", "core", "fair_share"}},
        {"state", {"config", "io", "wire", "core"}},
        {"leadership", {"state", "config", "io", "wire", "core"}},
        {"agents", {"leadership", "state", "config", "io", "wire", "core"}},
        {"cloud", {"state", "config", "io", "wire", "core"}},
        {"api", {"agents", "leadership", "state", "config", "io", "wire", "core"}},
        {"daemon",
         {"api", "cloud", "agents", "leadership", "state", "config", "io", "wire", "core"}},
    };
    for (const auto& entry : fs::directory_iterator(SOURCE_DIR "/src")) {
        const auto directory = entry.path().filename().string();
        ASSERT_TRUE(allowed.contains(directory)) << directory << " has no place in the layout";
        for (const auto& file : sources_below(entry.path()))
            for (const auto& included : directories_included_by(file))
                EXPECT_TRUE(included == directory || allowed.at(directory).contains(included))
                    << file << " includes " << included;
    }
}

}  // namespace
