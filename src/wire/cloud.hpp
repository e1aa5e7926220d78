/// Codecs of the calls to the cloud: its catalog, the list of machines, scale-out and release. Used
/// only by `cloud`; cloud.cpp lists the field names on the wire and the corresponding terms in the
/// code.
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
/// Returns the path of one page of the machine list: at most `limit` machines, starting after the
/// machine named `after`, or with the first one if it is empty.
std::string machine_list(const std::string& after, unsigned limit);
}  // namespace path

/// The parse functions return nullopt for a malformed body.
std::optional<std::vector<core::MachineType>> parse_catalog(std::string_view body);
std::string scale_out_body(const core::ScaleOutRequest& request);
/// Returns the names of the new machines, which may be fewer than requested.
std::optional<std::vector<std::string>> parse_scale_out_response(std::string_view body);
std::string release_body(const std::vector<std::string>& names);

/// One page of the machine list.
struct MachineList {
    std::vector<core::ListedMachine> machines;
    bool more = false;  ///< more pages follow
};
/// Parses one page, which contains machines in every stage.
std::optional<MachineList> parse_machine_list(std::string_view body);

}  // namespace bendspindle::wire
