// The HTTP protocol between the relay and hosts: builds requests and interprets answers.
#pragma once

#include <boost/beast/http/fields.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "host_client.h"

namespace myrtlegrade {

// Returns an upper bound of the size of one message in the body of a bulk call.
std::size_t bulk_item_size(const Payload& payload);

std::string make_request(const Endpoint& address, const std::vector<CallItem>& items, const std::string& via);

// Returns how long the host asks to be left alone; zero if the answer has no valid hint.
vetchhinge::Duration read_wait_hint(const boost::beast::http::fields& head);

// Returns whether the host rejected the call because this relay has exceeded its own slots.
bool is_own_slot_limit(const boost::beast::http::fields& head);

// Returns the limit report of an answer. An unreadable report is ignored; the answer remains valid.
std::optional<vetchhinge::LimitReport> read_limit_report(const boost::beast::http::fields& head);

// Returns whether the status line of the answer is complete and has status 200, whatever follows it.
bool has_ok_status_line(std::string_view answer);

// Return the result for an HTTP status, and for the state of one message of a bulk call.
CallResult result_of(unsigned status);
CallResult result_of(std::string_view state);

// The states of the messages of a bulk call by message id; empty if the answer is unreadable.
using BulkStates = std::map<std::string, std::string, std::less<>>;
BulkStates read_bulk_states(const std::string& body);

}  // namespace myrtlegrade
