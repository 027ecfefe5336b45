#include "handover_link.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <sys/un.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

namespace myrtlegrade {

namespace asio = boost::asio;

HandoverLink::Protocol::endpoint HandoverLink::endpoint_in(const std::string& folder) {
  const std::string path = folder + "/successor";
  if (path.size() < sizeof(sockaddr_un::sun_path)) return {path};
  // The path exceeds the limit for socket addresses: use one relative to an open descriptor of the folder.
  static const int descriptor = ::open(folder.c_str(), O_PATH | O_DIRECTORY | O_CLOEXEC);
  return {"/proc/self/fd/" + std::to_string(descriptor) + "/successor"};
}

bool HandoverLink::send_descriptor(int descriptor) {
  char byte = 'd';
  iovec bytes{&byte, 1};
  alignas(cmsghdr) std::array<char, CMSG_SPACE(sizeof(int))> control{};
  msghdr message{};
  message.msg_iov = &bytes;
  message.msg_iovlen = 1;
  message.msg_control = control.data();
  message.msg_controllen = control.size();
  cmsghdr* header = CMSG_FIRSTHDR(&message);
  header->cmsg_level = SOL_SOCKET;
  header->cmsg_type = SCM_RIGHTS;
  header->cmsg_len = CMSG_LEN(sizeof(int));
  std::memcpy(CMSG_DATA(header), &descriptor, sizeof descriptor);
  ssize_t sent = 0;
  do {
    sent = ::sendmsg(socket().native_handle(), &message, MSG_NOSIGNAL | MSG_DONTWAIT);
  } while (sent < 0 && errno == EINTR);
  return sent == 1;
}

asio::awaitable<std::optional<int>> HandoverLink::receive_descriptor() {
  const auto [error] = co_await socket().async_wait(Protocol::socket::wait_read, kAwait);
  if (error) co_return std::nullopt;
  char byte = 0;
  iovec bytes{&byte, 1};
  alignas(cmsghdr) std::array<char, CMSG_SPACE(sizeof(int))> control{};
  msghdr message{};
  message.msg_iov = &bytes;
  message.msg_iovlen = 1;
  message.msg_control = control.data();
  message.msg_controllen = control.size();
  ssize_t received = 0;
  do {
    received = ::recvmsg(socket().native_handle(), &message, MSG_CMSG_CLOEXEC | MSG_DONTWAIT);
  } while (received < 0 && errno == EINTR);
  if (received != 1) co_return std::nullopt;
  const cmsghdr* header = CMSG_FIRSTHDR(&message);
  if (!header || header->cmsg_level != SOL_SOCKET || header->cmsg_type != SCM_RIGHTS) co_return std::nullopt;
  int descriptor = -1;
  std::memcpy(&descriptor, CMSG_DATA(header), sizeof descriptor);
  co_return descriptor;
}

}  // namespace myrtlegrade
