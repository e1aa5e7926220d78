// Owner of the machine types: what can be rented, and which jobs may use what. Knows nothing of
// machines that exist (fleet.hpp).
#pragma once

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/model/types.hpp"

namespace bendspindle::core {

enum class Verdict : std::uint8_t { fits, never_fits, not_ready };

// Whether a job could ever run.
Verdict judge(const JobSpec& spec, const std::vector<Team>& teams,
              const std::vector<MachineType>& types);

// Whether a job's user allows such a machine.
bool allowed(const JobSpec& spec, const std::string& type, const std::string& zone, bool spot);

class MachineCatalog {
  public:
    void set(std::vector<MachineType> types);
    bool known() const { return !types_.empty(); }
    const std::vector<MachineType>& types() const { return types_; }
    const MachineType& operator[](std::size_t type) const { return types_[type]; }
    std::optional<std::size_t> find(const std::string& name) const;
    // As much of everything as any type has.
    Resources largest() const;
    // Whether machines of a type are rented for such work, among those that it is allowed on.
    bool suits(const JobSpec& spec, const MachineType& type) const;
    // The longest boot among the types a job may use: which one is to be had is not known before.
    Seconds longest_boot(const JobSpec& spec) const;

  private:
    std::vector<MachineType> types_;
    std::unordered_map<std::string, std::size_t> index_;
};

}  // namespace bendspindle::core
