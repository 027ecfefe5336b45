/// Conversion between durations and seconds.
#pragma once

#include <chrono>
#include <cmath>

#include "vetchhinge/policy.h"

namespace vetchhinge {

inline double seconds(Duration d) { return std::chrono::duration<double>(d).count(); }
inline Duration to_duration(double seconds) { return Duration(std::llround(seconds * 1e6)); }
inline Duration scaled(Duration d, double factor) { return to_duration(seconds(d) * factor); }

}  // namespace vetchhinge
