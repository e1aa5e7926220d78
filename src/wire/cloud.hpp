/// Calls to the cloud: its catalog, the list of machines, scaling out and in. Called by `cloud`
/// alone; the map from the wire's fields to the code's terms is in cloud.cpp.
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
/// The path of one page: at most `limit` machines, those after the name `after`.
std::string list(const std::string& after, unsigned limit);
}  // namespace path

/// Readers return nullopt for a malformed body.
std::optional<std::vector<core::MachineType>> parse_catalog(std::string_view body);
std::string rent_body(const core::ScaleOutRequest& request);
/// The names of the new machines; there may be fewer of them than were asked for.
std::optional<std::vector<std::string>> parse_scale_out_response(std::string_view body);
std::string release_body(const std::vector<std::string>& names);

/// One page of the machine list.
struct MachineList {
    std::vector<core::ListedMachine> machines;
    bool more = false;  ///< pages follow
};
/// One page, with the machines of every stage.
std::optional<MachineList> parse_list(std::string_view body);

}  // namespace bendspindle::wire
