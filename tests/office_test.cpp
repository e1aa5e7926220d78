// What the threads of a controller share: the order in which catalog and records arrive.
#include "app/office.hpp"

#include <gtest/gtest.h>

namespace bendspindle::app {
namespace {

core::MachineType some_type() {
    core::MachineType type;
    type.name = "g8";
    type.size = {8, 0, 64};
    type.zones = {"a"};
    return type;
}

std::unique_ptr<core::Controller> loaded() {
    core::Config config;
    config.zones = {"a"};
    config.teams = {{"red", {}, {}}};
    return std::make_unique<core::Controller>(config, 1);
}

core::JobSpec some_job() {
    core::JobSpec spec;
    spec.id = "job-1";
    spec.team = "red";
    spec.need = {1, 0, 1};
    return spec;
}

// Guard: a catalog that came between the loading of the records and the installing of the new
// controller was lost to it, and for a minute nothing was placed.
TEST(Office, ACatalogThatCameWhileLoadingIsKnown) {
    Office office;
    auto controller = loaded();
    office.learn_types({some_type()});
    const std::lock_guard lock(office.mutex);
    office.install(std::move(controller), 7);
    EXPECT_EQ(office.controller->check(some_job()), core::Verdict::fits);
    EXPECT_EQ(office.steward_stamp, 7U);
}

TEST(Office, ACatalogThatComesLaterIsKnown) {
    Office office;
    {
        const std::lock_guard lock(office.mutex);
        office.install(loaded(), 7);
        EXPECT_EQ(office.controller->check(some_job()), core::Verdict::not_ready);
    }
    office.learn_types({some_type()});
    const std::lock_guard lock(office.mutex);
    EXPECT_EQ(office.controller->check(some_job()), core::Verdict::fits);
}

}  // namespace
}  // namespace bendspindle::app
