// Reads the operators' options file (src/protocol/options.proto).
#pragma once

#include <string>

#include "protocol/settings.hpp"

namespace sailreel {

/// Reads a file in protobuf text format. Throws SettingsError if the file can't be read or is
/// invalid.
Options load_options(const std::string& path);

}  // namespace sailreel
