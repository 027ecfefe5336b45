// What is written to hosts, and what their answers say.
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

// What one message takes of a bulk call's body, at most.
std::size_t bulk_item_size(const Payload& payload);

std::string make_request(const Endpoint& address, const std::vector<CallItem>& items, const std::string& via);

vetchhinge::Duration read_wait_hint(const boost::beast::http::fields& head);

// Turned away for want of a slot of this relay's own.
bool is_own_slot_limit(const boost::beast::http::fields& head);

// A report that can't be read tells nothing, and spoils nothing either.
std::optional<vetchhinge::LimitReport> read_limit_report(const boost::beast::http::fields& head);

// Whether the first line of what came says 200, whatever follows it.
bool has_ok_status_line(std::string_view answer);

// Of a status, and of the state of one message of a bulk call.
CallResult result_of(unsigned status);
CallResult result_of(std::string_view state);

// The end of each message of a bulk call by its id; empty if the answer can't be read.
using BulkStates = std::map<std::string, std::string, std::less<>>;
BulkStates read_bulk_states(const std::string& body);

}  // namespace myrtlegrade
