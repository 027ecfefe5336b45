// The HTTP protocol between clients and the relay: reads messages from requests, and builds the answers.
#pragma once

#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "timestamp.h"

namespace myrtlegrade {

using ClientRequest = boost::beast::http::request<boost::beast::http::string_body>;
using ClientResponse = boost::beast::http::response<boost::beast::http::string_body>;

// A message as a client submitted it.
struct SubmittedMessage {
  std::string id;
  std::string cls;
  std::uint64_t destination = 0;
  std::string key;  // empty if none was given
  std::string body;
  Timestamp deadline;  // the client's timeout, from the arrival of the request's last byte
};

// The answer to a submitted message. The outer names of the kinds are those of name_of().
struct Answer {
  enum class Kind {
    accepted,
    refused,
    failed,
    unknown_class,
    unknown_destination,
    key_missing,
    other_content
  };
  Kind kind = Kind::accepted;
  std::chrono::milliseconds retry_after{};  // with refused and unknown_destination; 0 if none is sent
};

// Returns the outer name of a kind: that of its enumerator, but "taken" for accepted.
std::string_view name_of(Answer::Kind kind);

// Fills `message` from a request. Returns the name of the invalid header field, or an empty string.
std::string parse_message(ClientRequest& request, const Timestamp& last_byte, SubmittedMessage& message);

// A body whose end another HTTP implementation would place elsewhere may hide a request (request smuggling).
// Beast rejects Content-Length next to chunked coding and contradictory lengths, but ignores transfer codings
// that it does not know and then parses the body as the next request.
bool has_unambiguous_framing(const boost::beast::http::request_header<>& request);

// Removes header fields that the relay does not use, and repetitions of those that it uses, as far as they
// have been parsed. A parsed field takes many times the memory of its text, and a request may be held for
// seconds until the rest of it has arrived. What has_unambiguous_framing() looks at stays.
void drop_unused_fields(boost::beast::http::fields& fields);

ClientResponse plain_text_response(boost::beast::http::status status, std::string text);
ClientResponse response_to(const Answer& answer);

// Returns the response to a request that the parser rejected, none if the connection just ended.
std::optional<ClientResponse> response_to(boost::beast::error_code error);

// Returns whether the connection may stay open after an answer of this class. A client that sends an invalid
// request might repeat it immediately and at full speed; having to reconnect slows it down.
bool may_keep_connection(boost::beast::http::status_class status);

}  // namespace myrtlegrade
