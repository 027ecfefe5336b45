#!/bin/sh
# Tests that a program outside the source tree can find the installed package and link against it.
set -eu
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cmake --install "$2" --prefix "$work/prefix" >/dev/null
mkdir "$work/app"
cat >"$work/app/CMakeLists.txt" <<'APP'
cmake_minimum_required(VERSION 3.20)
project(app LANGUAGES CXX)
find_package(vetchhinge REQUIRED)
add_executable(app main.cpp)
target_link_libraries(app PRIVATE vetchhinge::vetchhinge)
APP
cat >"$work/app/main.cpp" <<'APP'
#include <stdexcept>
#include <vetchhinge/policy.h>
int main() {
  try {
    vetchhinge::Sender sender(vetchhinge::Settings{});
  } catch (const std::invalid_argument&) {
    return 0;  // settings without classes are invalid
  }
  return 1;
}
APP
flags=""
if grep -q 'VETCHHINGE_SANITIZE:BOOL=ON' "$2/CMakeCache.txt"; then flags="-fsanitize=address,undefined"; fi
cmake -S "$work/app" -B "$work/build" -DCMAKE_PREFIX_PATH="$work/prefix" -DCMAKE_CXX_FLAGS="$flags" >/dev/null
cmake --build "$work/build" >/dev/null
"$work/build/app"
echo "embedded: ok"
