// Compiles Boost.JSON into the programs, so that the hosts of the relay need no shared library of it.
#include <boost/json/src.hpp>
