// Spans of time as numbers of seconds, and back. Mechanism only: every figure comes from the caller.
#pragma once

#include <chrono>
#include <cmath>

#include "vetchhinge/policy.h"

namespace vetchhinge {

inline double seconds(Duration d) { return std::chrono::duration<double>(d).count(); }
inline Duration span(double seconds) { return Duration(std::llround(seconds * 1e6)); }
inline Duration scaled(Duration d, double by) { return span(seconds(d) * by); }

}  // namespace vetchhinge
