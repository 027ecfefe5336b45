// Errors of system calls that pass by themselves.
#pragma once

#include <boost/system/errc.hpp>
#include <boost/system/error_code.hpp>

namespace myrtlegrade {

// The process or the system has no descriptor, buffer or memory left for the moment, or a signal came
// between.
inline bool is_temporary_error(const boost::system::error_code& error) {
  namespace errc = boost::system::errc;
  return error == errc::too_many_files_open || error == errc::too_many_files_open_in_system ||
         error == errc::no_buffer_space || error == errc::not_enough_memory || error == errc::interrupted;
}

// Of an accept: the connection that was next is gone, or the network has told of its end already. accept(2)
// asks for the next one then.
inline bool is_single_connection_error(const boost::system::error_code& error) {
  namespace errc = boost::system::errc;
  return error == errc::connection_aborted || error == errc::protocol_error || error == errc::interrupted ||
         error == errc::operation_not_permitted || error == errc::network_down ||
         error == errc::no_protocol_option || error == errc::host_unreachable ||
         error == errc::network_unreachable;
}

}  // namespace myrtlegrade
