/// Owner of the machine types: which types can be scaled out, and which jobs may use them. Read by
/// all modules of the core; set once the catalog has been read. Existing machines are kept in
/// `MachineInventory`.
#pragma once

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/model/job_spec.hpp"
#include "core/model/machine_type.hpp"
#include "core/model/resources.hpp"
#include "core/model/team.hpp"
#include "core/model/time.hpp"

namespace bendspindle::core {

/// `not_ready` means that the catalog is not known yet.
enum class Feasibility : std::uint8_t { fits, never_fits, not_ready };

/// Returns whether a job could ever run.
[[nodiscard]] Feasibility check_feasibility(const JobSpec& spec, const std::vector<Team>& teams,
                                            const std::vector<MachineType>& types);

/// Returns whether the constraints of a job allow such a machine.
[[nodiscard]] bool allowed(const JobSpec& spec, const std::string& type, const std::string& zone,
                           bool spot);

/// The machine types of the cloud. A type is identified by its index, which is valid until `set`.
class MachineCatalog {
  public:
    /// Replaces all types and thereby invalidates all indices
    /// (`MachineInventory::catalog_changed`).
    void set(std::vector<MachineType> types);
    bool known() const { return !types_.empty(); }
    const std::vector<MachineType>& types() const { return types_; }
    const MachineType& operator[](std::size_t type) const { return types_[type]; }
    /// Returns nothing if the catalog has no such type.
    std::optional<std::size_t> find(const std::string& name) const;
    /// Returns the maximum of each resource over all types.
    [[nodiscard]] Resources largest() const;
    /// Returns whether machines of a type may be scaled out for the job, given that the job may use
    /// the type.
    [[nodiscard]] bool suits(const JobSpec& spec, const MachineType& type) const;
    /// Returns the longest boot time among the types that a job may use; which of them is available
    /// is not known in advance.
    [[nodiscard]] Seconds longest_boot(const JobSpec& spec) const;

  private:
    std::vector<MachineType> types_;
    std::unordered_map<std::string, std::size_t> index_;
};

}  // namespace bendspindle::core
