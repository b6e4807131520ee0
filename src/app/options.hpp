// The operators' options file.
#pragma once

#include <string>

#include "protocol/settings.hpp"

namespace sailreel {

/// Reads a file in protobuf text format; throws SettingsError.
Options load_options(const std::string& path);

}  // namespace sailreel
