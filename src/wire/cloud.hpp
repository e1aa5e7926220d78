// Calls to the cloud: its catalog, the list of machines, renting and releasing them.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/model/types.hpp"

namespace bendspindle::wire {

namespace path {
inline constexpr const char* catalog = "/catalog";
inline constexpr const char* machines = "/machines";
inline constexpr const char* release = "/machines/release";
std::string list(const std::string& after, unsigned limit);
}  // namespace path

std::optional<std::vector<core::MachineType>> parse_catalog(std::string_view body);
std::string rent_body(const core::ScaleOutRequest& request);
// The names of the machines that were rented.
std::optional<std::vector<std::string>> parse_rented(std::string_view body);
std::string release_body(const std::vector<std::string>& names);

// One page of the machine list.
struct MachineList {
    std::vector<core::ListedMachine> machines;
    bool more = false;
};
std::optional<MachineList> parse_list(std::string_view body);

}  // namespace bendspindle::wire
