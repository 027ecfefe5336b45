# The C++ block of the README is, byte for byte, the example that is compiled and run.
file(READ "${README}" readme)
file(READ "${EXAMPLE}" example)
string(FIND "${readme}" "```cpp\n${example}```\n" at)
if(at EQUAL -1)
  message(FATAL_ERROR "the C++ block in ${README} differs from ${EXAMPLE}")
endif()
