#include "config/text_file.hpp"

#include <fstream>
#include <sstream>

#include "config/settings_error.hpp"

namespace bendspindle::config {

std::string read_text_file(const std::string& file) {
    std::ifstream in(file, std::ios::binary);
    if (!in) throw SettingsError(file, "cannot be read");
    std::ostringstream out;
    out << in.rdbuf();
    return out.str();
}

}  // namespace bendspindle::config
