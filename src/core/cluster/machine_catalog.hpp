/// Owner of the machine types: what can be scaled out, and which jobs may use what. Read by all
/// modules of the core; set once the catalog is read. Knows nothing of machines that exist
/// (`MachineInventory`).
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

/// `not_ready`: the catalog is not known yet.
enum class Verdict : std::uint8_t { fits, never_fits, not_ready };

/// Whether a job could ever run.
[[nodiscard]] Verdict judge(const JobSpec& spec, const std::vector<Team>& teams,
                            const std::vector<MachineType>& types);

/// Whether a job's user allows such a machine.
[[nodiscard]] bool allowed(const JobSpec& spec, const std::string& type, const std::string& zone,
                           bool spot);

/// Types are named by their index, which holds until `set`.
class MachineCatalog {
  public:
    /// Replaces all types; indices into them change (`MachineInventory::catalog_changed`).
    void set(std::vector<MachineType> types);
    bool known() const { return !types_.empty(); }
    const std::vector<MachineType>& types() const { return types_; }
    const MachineType& operator[](std::size_t type) const { return types_[type]; }
    /// Nothing where the catalog has no such type.
    std::optional<std::size_t> find(const std::string& name) const;
    /// As much of everything as any type has.
    [[nodiscard]] Resources largest() const;
    /// Whether machines of a type are scaled out for such work, among those that it is allowed on.
    [[nodiscard]] bool suits(const JobSpec& spec, const MachineType& type) const;
    /// The longest boot among the types a job may use: which one is to be had is not known before.
    [[nodiscard]] Seconds longest_boot(const JobSpec& spec) const;

  private:
    std::vector<MachineType> types_;
    std::unordered_map<std::string, std::size_t> index_;
};

}  // namespace bendspindle::core
