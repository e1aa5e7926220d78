/// Image identifiers: hashes of image names.
#pragma once

#include <algorithm>
#include <cstddef>
#include <functional>
#include <string>

namespace bendspindle::core {

/// Hash of an image name, or 0 for no image. A placement cycle compares thousands of images, and
/// comparing hashes is cheaper than comparing names; a collision only makes a fetch time estimate
/// wrong.
using ImageId = std::size_t;
/// Returns the identifier of the image, or 0 if `name` is empty.
[[nodiscard]] inline ImageId image_id(const std::string& name) {
    return name.empty() ? 0 : std::max<ImageId>(std::hash<std::string>{}(name), 1);
}

}  // namespace bendspindle::core
