// The seeds that a test with drawn input plays.
#pragma once

#include <cstdlib>

namespace bendspindle::standin {

struct SeedRange {
    unsigned first = 1;
    unsigned count = 0;

    [[nodiscard]] unsigned end() const { return first + count; }
};

// BENDSPINDLE_RANDOM_SEEDS=FIRST,COUNT or =FIRST, or the given seeds without it.
inline SeedRange asked_seeds(SeedRange seeds) {
    if (const char* asked = std::getenv("BENDSPINDLE_RANDOM_SEEDS")) {
        char* rest = nullptr;
        seeds.first = static_cast<unsigned>(std::strtoul(asked, &rest, 10));
        if (*rest == ',') seeds.count = static_cast<unsigned>(std::strtoul(rest + 1, nullptr, 10));
    }
    return seeds;
}

}  // namespace bendspindle::standin
