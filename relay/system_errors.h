// Classification of transient errors of system calls.
#pragma once

#include <boost/system/errc.hpp>
#include <boost/system/error_code.hpp>

namespace myrtlegrade {

// The process or the system is temporarily out of descriptors, buffers or memory, or a signal interrupted the
// call.
inline bool is_temporary_error(const boost::system::error_code& error) {
  namespace errc = boost::system::errc;
  return error == errc::too_many_files_open || error == errc::too_many_files_open_in_system ||
         error == errc::no_buffer_space || error == errc::not_enough_memory || error == errc::interrupted;
}

// An error of accept() that concerns only the next connection: it is gone, or the network has already
// reported an error for it. accept(2) advises to retry with the next connection.
inline bool is_single_connection_error(const boost::system::error_code& error) {
  namespace errc = boost::system::errc;
  return error == errc::connection_aborted || error == errc::protocol_error || error == errc::interrupted ||
         error == errc::operation_not_permitted || error == errc::network_down ||
         error == errc::no_protocol_option || error == errc::host_unreachable ||
         error == errc::network_unreachable;
}

}  // namespace myrtlegrade
