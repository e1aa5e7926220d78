// Runs every scenario of tests/scenarios, one test a file.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

#include "standin/simulated_cluster.hpp"

namespace {

class Scenario : public testing::Test {
  public:
    explicit Scenario(std::filesystem::path file) : file_(std::move(file)) {}
    void TestBody() override {
        std::ifstream in(file_);
        ASSERT_TRUE(in) << file_;
        bendspindle::standin::SimulatedCluster cluster;
        int number = 0;
        for (std::string line; std::getline(in, line);) {
            ++number;
            try {
                cluster.execute(line);
            } catch (const std::exception& e) {
                FAIL() << file_.filename().string() << ":" << number << ": " << e.what();
            }
        }
    }

  private:
    std::filesystem::path file_;
};

}  // namespace

int main(int argc, char** argv) {
    testing::InitGoogleTest(&argc, argv);
    std::vector<std::filesystem::path> files;
    for (const auto& entry : std::filesystem::directory_iterator(SCENARIO_DIR))
        if (entry.path().extension() == ".scn") files.push_back(entry.path());
    std::sort(files.begin(), files.end());
    for (const auto& file : files)
        testing::RegisterTest("scenarios", file.stem().string().c_str(), nullptr, nullptr, __FILE__,
                              __LINE__, [file]() -> testing::Test* { return new Scenario(file); });
    if (files.empty()) return 1;
    return RUN_ALL_TESTS();
}
