#include "link.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <sys/un.h>

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <cstring>
#include <utility>

#include "coroutine.h"

namespace myrtlegrade {

namespace asio = boost::asio;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kMostFrame = 8 << 20;
constexpr std::size_t kReadSize = 64 << 10;

// The length that a record's first four bytes tell.
std::size_t length_of(std::string_view header) { return Reader(header).number(4); }

}  // namespace

Link::Protocol::endpoint Link::place(const std::string& folder) {
  const std::string path = folder + "/successor";
  if (path.size() < sizeof(sockaddr_un::sun_path)) return {path};
  // The address of a Unix socket is short. A descriptor of the folder, kept open, stands for its path.
  static const int descriptor = ::open(folder.c_str(), O_PATH | O_DIRECTORY | O_CLOEXEC);
  return {"/proc/self/fd/" + std::to_string(descriptor) + "/successor"};
}

bool Link::send_descriptor(int descriptor) {
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
  return ::sendmsg(socket_.native_handle(), &message, MSG_NOSIGNAL | MSG_DONTWAIT) == 1;
}

asio::awaitable<std::optional<int>> Link::receive_descriptor() {
  const auto [error] = co_await socket_.async_wait(Protocol::socket::wait_read, kAwait);
  if (error) co_return std::nullopt;
  char byte = 0;
  iovec bytes{&byte, 1};
  alignas(cmsghdr) std::array<char, CMSG_SPACE(sizeof(int))> control{};
  msghdr message{};
  message.msg_iov = &bytes;
  message.msg_iovlen = 1;
  message.msg_control = control.data();
  message.msg_controllen = control.size();
  if (::recvmsg(socket_.native_handle(), &message, MSG_CMSG_CLOEXEC | MSG_DONTWAIT) != 1) {
    co_return std::nullopt;
  }
  const cmsghdr* header = CMSG_FIRSTHDR(&message);
  if (!header || header->cmsg_level != SOL_SOCKET || header->cmsg_type != SCM_RIGHTS) co_return std::nullopt;
  int descriptor = -1;
  std::memcpy(&descriptor, CMSG_DATA(header), sizeof descriptor);
  co_return descriptor;
}

void Link::send(const Writer& frame) {
  if (!socket_.is_open()) return;
  queue_ += frame.record();
  if (!std::exchange(writing_, true)) spawn(socket_.get_executor(), write_out(shared_from_this()));
}

asio::awaitable<void> Link::write_out([[maybe_unused]] std::shared_ptr<Link> self) {
  while (!queue_.empty()) {
    const std::string bytes = std::exchange(queue_, {});
    const auto [error, written] = co_await asio::async_write(socket_, asio::buffer(bytes), kAwait);
    if (error) {
      close();  // who reads learns of it
      queue_.clear();
    }
  }
  writing_ = false;
}

asio::awaitable<std::optional<std::string>> Link::receive() {
  const auto self = shared_from_this();
  while (buffer_.size() < kRecordHeader || buffer_.size() < kRecordHeader + length_of(buffer_)) {
    if (buffer_.size() >= kRecordHeader && length_of(buffer_) > kMostFrame) co_return std::nullopt;
    std::array<char, kReadSize> bytes;
    const auto [error, count] = co_await socket_.async_read_some(asio::buffer(bytes), kAwait);
    if (error) co_return std::nullopt;
    buffer_.append(bytes.data(), count);
  }
  Reader in(buffer_);
  const auto payload = in.record();
  if (!payload) co_return std::nullopt;
  std::string frame(*payload);
  buffer_.erase(0, kRecordHeader + frame.size());
  co_return frame;
}

void Link::close() {
  boost::system::error_code ignored;
  socket_.close(ignored);
}

}  // namespace myrtlegrade
