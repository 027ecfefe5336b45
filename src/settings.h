/// Validation of settings.
#pragma once

#include "vetchhinge/policy.h"

namespace vetchhinge {

/// Throws std::invalid_argument, naming the field, if the settings are invalid.
void validate(const Settings& s);

}  // namespace vetchhinge
