// The layering of src: directories depend on each other in one direction only, the core uses no
// input, output, clock, threads or environment variables, and field names of the wire occur only in
// src/wire.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <set>
#include <sstream>
#include <string_view>

namespace {

namespace fs = std::filesystem;

std::string read_file(const fs::path& file) {
    std::ostringstream out;
    out << std::ifstream(file).rdbuf();
    return out.str();
}

std::vector<fs::path> files_below(const fs::path& directory) {
    std::vector<fs::path> files;
    for (const auto& entry : fs::recursive_directory_iterator(directory))
        if (entry.is_regular_file()) files.push_back(entry.path());
    EXPECT_FALSE(files.empty()) << directory;
    return files;
}

void expect_no_occurrence(const fs::path& directory, const std::vector<std::string>& words) {
    for (const auto& file : files_below(directory))
        for (const auto& word : words)
            EXPECT_EQ(read_file(file).find(word), std::string::npos)
                << file << " contains " << word;
}

// Returns the project headers that the file includes, as paths relative to src.
std::vector<fs::path> paths_included_by(const fs::path& file) {
    constexpr std::string_view directive = "#include \"";
    std::vector<fs::path> paths;
    std::istringstream text(read_file(file));
    for (std::string line; std::getline(text, line);) {
        if (!line.starts_with(directive)) continue;
        const auto end = line.find('"', directive.size());
        const fs::path path = line.substr(directive.size(), end - directive.size());
        EXPECT_TRUE(path.has_parent_path())
            << file << " includes " << path << " without its directory";
        paths.push_back(path);
    }
    return paths;
}

std::set<std::string> directories_included_by(const fs::path& file) {
    std::set<std::string> found;
    for (const auto& path : paths_included_by(file)) found.insert(path.begin()->string());
    return found;
}

TEST(Layout, CoreUsesNoInputOrOutput) {
    expect_no_occurrence(SOURCE_DIR "/src/core",
                         {"::now(", "<thread>", "<mutex>", "<fstream>", "<iostream>", "<sys/",
                          "getenv", "httplib", "spdlog", "random_device"});
}

TEST(Layout, WireFieldNamesOccurOnlyInWire) {
    for (const auto& entry : fs::directory_iterator(SOURCE_DIR "/src"))
        if (entry.path().filename() != "wire")
            expect_no_occurrence(entry.path(), {"baton", "stow_s", "notch_s", "\"lane\"",
                                                "\"crew\"", "ledger_tick", "loaners", "wind_down"});
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
        ASSERT_TRUE(allowed.contains(directory)) << directory << " is not part of the layout";
        for (const auto& file : files_below(entry.path()))
            for (const auto& included : directories_included_by(file))
                EXPECT_TRUE(included == directory || allowed.at(directory).contains(included))
                    << file << " includes " << included;
    }
}

// Returns the module of a file below src/core: its directory, or for files in src/core itself
// `config`, which every module may include, or `top`, which may include every module.
std::string core_module_of(const fs::path& path_below_core) {
    if (path_below_core.has_parent_path()) return path_below_core.begin()->string();
    return path_below_core.stem() == "config" ? "config" : "top";
}

std::set<std::string> core_modules_included_by(const fs::path& file) {
    std::set<std::string> found;
    for (const auto& path : paths_included_by(file))
        if (*path.begin() == "core") found.insert(core_module_of(fs::relative(path, "core")));
    return found;
}

TEST(Layout, CoreModulesDependInOneDirection) {
    const std::map<std::string, std::set<std::string>> allowed{
        {"model", {}},
        {"config", {"model"}},
        {"cluster", {"config", "model"}},
        {"scheduling", {"cluster", "config", "model"}},
        {"reconciliation", {"scheduling", "cluster", "config", "model"}},
        {"autoscaling", {"scheduling", "cluster", "config", "model"}},
        {"top", {"autoscaling", "reconciliation", "scheduling", "cluster", "config", "model"}},
    };
    const fs::path core = SOURCE_DIR "/src/core";
    std::set<std::string> seen;
    for (const auto& file : files_below(core)) {
        const auto module = core_module_of(fs::relative(file, core));
        ASSERT_TRUE(allowed.contains(module)) << file << " is not part of the layout";
        seen.insert(module);
        for (const auto& included : core_modules_included_by(file))
            EXPECT_TRUE(included == module || allowed.at(module).contains(included))
                << file << " includes " << included;
    }
    EXPECT_EQ(seen.size(), allowed.size());
}

}  // namespace
