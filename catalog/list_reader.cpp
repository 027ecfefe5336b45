#include "list_reader.h"

#include <array>
#include <boost/json/basic_parser_impl.hpp>
#include <boost/json/value.hpp>
#include <optional>
#include <utility>

namespace valedrum::catalog {
namespace {

namespace json = boost::json;
using boost::system::error_code;

std::optional<EndpointState> parse_state(std::string_view text) {
  if (text == "SERVING") return EndpointState::serving;
  if (text == "DRAINING") return EndpointState::draining;
  if (text == "DELETED") return EndpointState::deleted;
  return std::nullopt;
}

// Converts a number that T represents exactly, as json::value::to_number does; returns nullopt for other
// values.
template <class T>
std::optional<T> to_number(const json::value& value) {
  error_code error;
  const T result = value.to_number<T>(error);
  return error ? std::nullopt : std::optional<T>(result);
}

// The last value of a field of an entry.
struct Field {
  std::string text;       // empty if the value is not a string
  bool overlong = false;  // longer than kMaxTextBytes; `text` has only its beginning
  bool present = false;
  json::value other;  // a value other than a string; null for objects and arrays

  void clear() {
    text.clear();
    overlong = present = false;
    other = nullptr;
  }
};

// Handles the events of the JSON parser and keeps the state of the current list.
class Handler {
 public:
  static constexpr std::size_t max_array_size = ListLimits::kMaxElements;
  static constexpr std::size_t max_object_size = ListLimits::kMaxFields;
  static constexpr std::size_t max_string_size = ListLimits::kMaxStringBytes;
  static constexpr std::size_t max_key_size = ListLimits::kMaxStringBytes;

  EndpointTable table;
  std::int64_t version = 0;
  bool full = false;
  std::string failure;  // reason why the handler rejected the list; empty for errors of the JSON parser

  void reset() {
    has_version_ = has_full_ = has_servers_ = false;
    version = 0;
    full = false;
    depth_ = 0;
    in_servers_ = false;
    deleted_ = 0;
    failure.clear();
    if (table.bytes() > kMaxReusedBytes) {
      table = EndpointTable();
    } else {
      table.clear();
    }
  }

  bool on_document_begin(error_code&) { return true; }
  bool on_document_end(error_code&) { return true; }
  bool on_number_part(json::string_view, error_code&) { return true; }
  bool on_comment_part(json::string_view, error_code&) { return true; }
  bool on_comment(json::string_view, error_code&) { return true; }
  bool on_int64(std::int64_t i, json::string_view, error_code& ec) { return on_value(i, ec); }
  bool on_uint64(std::uint64_t u, json::string_view, error_code& ec) { return on_value(u, ec); }
  bool on_double(double d, json::string_view, error_code& ec) { return on_value(d, ec); }
  bool on_bool(bool b, error_code& ec) { return on_value(b, ec); }
  bool on_null(error_code& ec) { return on_value(nullptr, ec); }

  bool on_key_part(json::string_view s, std::size_t n, error_code&) {
    if (s.size() == n) key_.clear();
    if (key_.size() <= kMaxKeyBytes) key_.append(s.substr(0, kMaxKeyBytes + 1));
    return true;
  }

  bool on_key(json::string_view s, std::size_t n, error_code& ec) {
    on_key_part(s, n, ec);
    if (depth_ == kTop) return on_top_key(ec);
    if (depth_ == kEntry && in_servers_) field_ = field_of(key_);
    return true;
  }

  bool on_string_part(json::string_view s, std::size_t n, error_code&) {
    if (!field()) return true;
    if (s.size() == n) field()->clear();
    std::string& text = field()->text;
    text.append(s.substr(0, kMaxTextBytes - text.size()));
    field()->overlong = n > kMaxTextBytes;
    return true;
  }

  bool on_string(json::string_view s, std::size_t n, error_code& ec) {
    on_string_part(s, n, ec);
    if (!field()) return on_value(nullptr, ec);
    field()->present = true;
    return true;
  }

  bool on_object_begin(error_code& ec) {
    if (depth_ > 0 && !on_value(nullptr, ec)) return false;
    if (++depth_ != kEntry || !in_servers_) return true;
    for (Field& field : fields_) field.clear();
    field_ = kFields;
    return true;
  }

  bool on_object_end(std::size_t, error_code& ec) {
    if (--depth_ == 0) return finish(ec);
    return depth_ != kServers || !in_servers_ || add_entry(ec);
  }

  bool on_array_begin(error_code& ec) {
    if (depth_ == 0) return fail("not a JSON object", ec);
    if (depth_ == kTop && top_field_ == TopField::servers) {
      in_servers_ = true;
    } else if (!on_value(nullptr, ec)) {
      return false;
    }
    ++depth_;
    return true;
  }

  bool on_array_end(std::size_t, error_code&) {
    if (--depth_ == kTop) in_servers_ = false;
    return true;
  }

 private:
  enum class TopField { version, full, servers, other };
  enum FieldName { kId, kKind, kZone, kState, kAddr, kCell, kWeight, kStarted, kFields };
  // Nesting depth inside the top-level object, the array `servers` and an entry.
  enum Depth : std::size_t { kTop = 1, kServers = 2, kEntry = 3 };
  static constexpr std::size_t kMaxReusedBytes = 1 << 20;  // a larger table is freed before the next list
  static constexpr std::size_t kMaxKeyBytes = 10;          // of the longest known key, started_ms

  static FieldName field_of(std::string_view key) {
    constexpr std::array<std::string_view, kFields> kNames{"id",   "kind", "zone",   "state",
                                                           "addr", "cell", "weight", "started_ms"};
    std::size_t at = 0;
    while (at < kFields && kNames[at] != key) ++at;
    return static_cast<FieldName>(at);
  }

  // Returns the known field of an entry that is being read, or nullptr.
  Field* field() { return depth_ == kEntry && in_servers_ && field_ != kFields ? &fields_[field_] : nullptr; }

  bool fail(std::string reason, error_code& ec) {
    failure = std::move(reason);
    ec = json::make_error_code(json::error::syntax);
    return false;
  }

  bool on_top_key(error_code& ec) {
    top_field_ = TopField::other;
    if (key_ == "version") return begin_top_field(has_version_, TopField::version, ec);
    if (key_ == "full") return begin_top_field(has_full_, TopField::full, ec);
    if (key_ == "servers") return begin_top_field(has_servers_, TopField::servers, ec);
    return true;
  }

  // Records that a field of the list occurs; fails the second time.
  bool begin_top_field(bool& seen, TopField field, error_code& ec) {
    top_field_ = field;
    return !std::exchange(seen, true) || fail(key_ + ": duplicate field", ec);
  }

  // Handles every value but a string in a known field of an entry. Other strings, objects and arrays are
  // passed as null.
  bool on_value(json::value value, error_code& ec) {
    if (depth_ == 0) return fail("not a JSON object", ec);
    if (Field* const current = field()) {
      current->clear();
      current->present = true;
      current->other = std::move(value);
    }
    if (depth_ != kTop) return true;
    if (top_field_ == TopField::servers) return fail("servers: not an array", ec);
    if (top_field_ == TopField::full) full = value.is_bool() && value.as_bool();
    if (top_field_ != TopField::version) return true;
    const auto parsed = to_number<std::int64_t>(value);
    if (!parsed) return fail("version: not a whole number", ec);
    version = *parsed;
    return true;
  }

  // Adds the entry that has just ended to the table, unless it is unusable.
  bool add_entry(error_code& ec) {
    Entry entry;
    entry.id = fields_[kId].text;
    entry.kind = fields_[kKind].text;
    entry.zone = fields_[kZone].text;
    const auto state = parse_state(fields_[kState].text);
    if (entry.id.empty() || !state) return true;
    if (fields_[kId].overlong || fields_[kKind].overlong || fields_[kZone].overlong) return true;
    entry.state = *state;
    if (fields_[kCell].present) {
      const auto cell = to_number<std::uint64_t>(fields_[kCell].other);
      if (!cell) return true;
      entry.cell = *cell;
    } else if (entry.state == EndpointState::serving) {
      return true;
    }
    if (fields_[kWeight].present) {
      const auto weight = to_number<double>(fields_[kWeight].other);
      if (!weight) return true;
      entry.weight = *weight;
    }
    entry.started_ms = to_number<std::int64_t>(fields_[kStarted].other).value_or(0);
    if (entry.state != EndpointState::deleted) {
      const auto address = parse_address(fields_[kAddr].text);
      if (!address || fields_[kAddr].overlong) return true;
      entry.address = *address;
    } else if (full) {
      table.erase(entry.id);
      return true;
    } else {
      ++deleted_;
    }
    if (!table.put(entry)) return fail("too many pairs of zone and kind", ec);
    return table.bytes() <= ListLimits::kMaxStagedBytes ||
           fail("entries take more than " + std::to_string(ListLimits::kMaxStagedBytes >> 20) + " MB", ec);
  }

  // Checks the list at its end. A full list may have had DELETED entries before its `full` field: they are
  // removed.
  bool finish(error_code& ec) {
    if (!has_servers_) return fail("servers: missing", ec);
    if (!full || deleted_ == 0) return true;
    if (deleted_ > ListLimits::kMaxDeletedBeforeFull) {
      return fail("full list with more than " + std::to_string(ListLimits::kMaxDeletedBeforeFull) +
                      " DELETED entries",
                  ec);
    }
    for (Slot slot = 0; slot < table.slot_end(); ++slot) {
      std::string deleted_id;
      table.for_each(slot, 1, [&](Slot, const Entry& entry) {
        if (entry.state == EndpointState::deleted) deleted_id = entry.id;
      });
      if (!deleted_id.empty()) table.erase(deleted_id);
    }
    return true;
  }

  bool has_version_ = false, has_full_ = false, has_servers_ = false;
  std::size_t depth_ = 0;
  bool in_servers_ = false;
  TopField top_field_ = TopField::other;  // field of the list being read
  std::string key_;
  FieldName field_ = kFields;  // field of the entry being read, or kFields for an unknown one
  std::array<Field, kFields> fields_;
  std::size_t deleted_ = 0;  // upper bound on the DELETED entries in the table
};

json::parse_options parse_options() {
  json::parse_options options;
  options.max_depth = ListLimits::kMaxDepth;
  return options;
}

}  // namespace

struct ListReader::Impl {
  json::basic_parser<Handler> parser{parse_options()};
  Status status = Status::needs_more;
  std::uint64_t bytes_consumed = 0;
  error_code error;

  Handler& handler() { return parser.handler(); }
};

ListReader::ListReader() : impl_(std::make_unique<Impl>()) {}
ListReader::~ListReader() = default;
ListReader::ListReader(ListReader&&) noexcept = default;
ListReader& ListReader::operator=(ListReader&&) noexcept = default;

ListReader::Status ListReader::feed(std::string_view& bytes, std::size_t max_bytes) {
  Impl& impl = *impl_;
  const std::string_view input = bytes.substr(0, max_bytes);
  if (impl.status != Status::needs_more || input.empty()) return impl.status;
  const std::size_t consumed = impl.parser.write_some(true, input.data(), input.size(), impl.error);
  bytes.remove_prefix(consumed);
  impl.bytes_consumed += consumed;
  if (impl.error) {
    impl.status = Status::invalid;
  } else if (impl.parser.done()) {
    impl.status = Status::complete;
  }
  return impl.status;
}

ListReader::Status ListReader::status() const { return impl_->status; }
std::uint64_t ListReader::bytes_consumed() const { return impl_->bytes_consumed; }

std::string ListReader::error() const {
  if (impl_->status != Status::invalid) return {};
  const std::string& failure = impl_->handler().failure;
  return "list of endpoints, before byte " + std::to_string(impl_->bytes_consumed) + ": " +
         (failure.empty() ? impl_->error.message() : failure);
}

std::int64_t ListReader::version() const { return impl_->handler().version; }
bool ListReader::full() const { return impl_->handler().full; }
const EndpointTable& ListReader::entries() const { return impl_->handler().table; }
EndpointTable ListReader::take_entries() { return std::exchange(impl_->handler().table, EndpointTable()); }

void ListReader::reset() {
  impl_->parser.reset();
  impl_->handler().reset();
  impl_->status = Status::needs_more;
  impl_->bytes_consumed = 0;
  impl_->error = {};
}

}  // namespace valedrum::catalog
