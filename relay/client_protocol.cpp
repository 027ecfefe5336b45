#include "client_protocol.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <charconv>
#include <cstdio>
#include <iterator>
#include <utility>

namespace myrtlegrade {

namespace beast = boost::beast;
namespace http = beast::http;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kMaxNameBytes = 128;  // of an id or key, which are stored on disk
constexpr std::int64_t kMaxTimeoutMs = 86'400'000;

std::string_view view(beast::string_view text) { return {text.data(), text.size()}; }

bool is_printable(std::string_view text) {
  return std::ranges::all_of(text, [](char c) { return c > ' ' && c <= '~'; });
}

template <typename Number>
std::optional<Number> parse_number(std::string_view text) {
  Number value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return value;
}

// Parses the value of `dest` in texts such as "dest=7" or "a=1; dest=7".
std::optional<std::uint64_t> parse_destination(std::string_view text) {
  constexpr std::string_view kSeparators = " ;,&\t";
  while (!text.empty()) {
    const std::size_t end = text.find_first_of(kSeparators);
    const std::string_view word = text.substr(0, end);
    if (word.starts_with("dest=")) return parse_number<std::uint64_t>(word.substr(5));
    if (end == std::string_view::npos) break;
    text.remove_prefix(end + 1);
  }
  return std::nullopt;
}

ClientResponse with_retry_after(ClientResponse response, std::chrono::milliseconds after) {
  if (after > 0ms) {
    char seconds[32];
    std::snprintf(seconds, sizeof seconds, "%.3f", std::chrono::duration<double>(after).count());
    response.set(http::field::retry_after, seconds);
  }
  return response;
}

}  // namespace

std::string_view name_of(Answer::Kind kind) {
  constexpr std::array<std::string_view, 7> names = {
      "taken", "refused", "failed", "unknown_class", "unknown_destination", "key_missing", "other_content"};
  return names[static_cast<std::size_t>(kind)];
}

std::string parse_message(ClientRequest& request, const Timestamp& last_byte, SubmittedMessage& message) {
  const std::string_view path = view(request.target()).substr(1);
  message.cls = path.substr(0, path.find_first_of("/?"));
  message.id = request["X-Request-ID"];
  if (message.id.empty() || message.id.size() > kMaxNameBytes || !is_printable(message.id))
    return "X-Request-ID";
  message.key = request["Idempotency-Key"];
  if (message.key.size() > kMaxNameBytes || !is_printable(message.key)) return "Idempotency-Key";
  const auto timeout = parse_number<std::int64_t>(view(request["X-Timeout-Ms"]));
  if (!timeout || *timeout < 0) return "X-Timeout-Ms";
  message.deadline = last_byte + std::chrono::milliseconds(std::min(*timeout, kMaxTimeoutMs));
  const auto destination = parse_destination(view(request["X-Addressing"]));
  if (!destination) return "X-Addressing";
  message.destination = *destination;
  message.body = std::move(request.body());
  return "";
}

bool has_unambiguous_framing(const http::request_header<>& request) {
  const auto [first, last] = request.equal_range(http::field::transfer_encoding);
  if (first == last) return true;
  return request.version() == 11 && std::next(first) == last && beast::iequals(first->value(), "chunked") &&
         request.find(http::field::content_length) == request.end();
}

void drop_unused_fields(http::fields& fields) {
  constexpr std::array<std::string_view, 6> kUsed = {"Connection",   "Content-Length", "Idempotency-Key",
                                                     "X-Addressing", "X-Request-ID",   "X-Timeout-Ms"};
  const auto is_used = [&](std::string_view name) {
    return std::ranges::any_of(kUsed, [&](std::string_view used) { return beast::iequals(name, used); });
  };
  // A second one shows that the framing is ambiguous, and a third one nothing more.
  std::size_t transfer_encodings = 0;
  for (auto at = fields.begin(); at != fields.end();) {
    const bool encoding = at->name() == http::field::transfer_encoding;
    const bool kept = encoding ? ++transfer_encodings <= 2
                               : is_used(view(at->name_string())) && fields.find(at->name_string()) == at;
    at = kept ? std::next(at) : fields.erase(at);
  }
}

ClientResponse plain_text_response(http::status status, std::string text) {
  ClientResponse response{status, 11};
  if (!text.empty()) {
    response.set(http::field::content_type, "text/plain");
    response.body() = std::move(text) + "\n";
  }
  response.prepare_payload();
  return response;
}

ClientResponse response_to(const Answer& answer) {
  switch (answer.kind) {
    case Answer::Kind::accepted:
      return plain_text_response(http::status::accepted, "");
    case Answer::Kind::failed:
      return plain_text_response(http::status::gateway_timeout, "failed");
    case Answer::Kind::unknown_class:
      return plain_text_response(http::status::not_found, "unknown class of message");
    case Answer::Kind::unknown_destination:
      return with_retry_after(
          plain_text_response(http::status::service_unavailable, "no host of this destination is known"),
          answer.retry_after);
    case Answer::Kind::key_missing:
      return plain_text_response(http::status::bad_request, "Idempotency-Key: missing");
    case Answer::Kind::other_content:
      return plain_text_response(http::status::conflict, "X-Request-ID: in use for another message");
    case Answer::Kind::refused:
      break;
  }
  return with_retry_after(plain_text_response(http::status::service_unavailable, "refused"),
                          answer.retry_after);
}

bool may_keep_connection(http::status_class status) { return status != http::status_class::client_error; }

std::optional<ClientResponse> response_to(beast::error_code error) {
  if (error == http::error::body_limit)
    return plain_text_response(http::status::payload_too_large, "body too large");
  if (error == http::error::header_limit) {
    return plain_text_response(http::status::request_header_fields_too_large, "header too large");
  }
  const bool malformed = error.category() == make_error_code(http::error::bad_method).category() &&
                         error != http::error::end_of_stream && error != http::error::partial_message;
  if (malformed) return plain_text_response(http::status::bad_request, "malformed request");
  return std::nullopt;
}

}  // namespace myrtlegrade
