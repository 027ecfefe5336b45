# Sourced: installs the Debian packages that are not there yet. Each is known by a file that it brings.
install_missing() { # package:file ...
  local missing=() entry
  for entry in "$@"; do
    [ -e "${entry#*:}" ] || missing+=("${entry%%:*}")
  done
  [ ${#missing[@]} -gt 0 ] || return 0
  local as=()
  if [ "$(id -u)" != 0 ]; then
    if ! command -v sudo >/dev/null; then
      echo "missing packages, and no right to install them: ${missing[*]}" >&2
      return 1
    fi
    as=(sudo)
  fi
  "${as[@]}" apt-get update -qq
  DEBIAN_FRONTEND=noninteractive "${as[@]}" apt-get install -y -qq "${missing[@]}" >/dev/null
}

build_packages=(cmake:/usr/bin/cmake g++:/usr/bin/g++ make:/usr/bin/make libcli11-dev:/usr/include/CLI/CLI.hpp
  libboost1.81-dev:/usr/share/doc/libboost1.81-dev libxxhash-dev:/usr/include/xxhash.h)
lab_packages=(libtomlplusplus-dev:/usr/include/toml++/toml.h libmuparser-dev:/usr/include/muParser.h)
test_packages=(libgtest-dev:/usr/include/gtest/gtest.h clang-format:/usr/bin/clang-format)
