/// Images by a digest of their name.
#pragma once

#include <algorithm>
#include <cstddef>
#include <functional>
#include <string>

namespace bendspindle::core {

/// A placement cycle compares thousands of images, and a collision would only make an estimate
/// wrong. 0 stands for no image.
using ImageId = std::size_t;
[[nodiscard]] inline ImageId image_id(const std::string& name) {
    return name.empty() ? 0 : std::max<ImageId>(std::hash<std::string>{}(name), 1);
}

}  // namespace bendspindle::core
