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

// A number as json::value::to_number takes it: exactly, or not at all.
template <class T>
std::optional<T> number(const json::value& value) {
  error_code error;
  const T result = value.to_number<T>(error);
  return error ? std::nullopt : std::optional<T>(result);
}

// What a field of an entry has said last.
struct Field {
  std::string text;       // empty: no text
  bool overlong = false;  // over kMaxTextBytes, of which only the beginning is kept
  bool present = false;
  json::value other;  // a number; null: neither that nor a text

  void forget() {
    text.clear();
    overlong = present = false;
    other = nullptr;
  }
};

// The events of the parser, and what the list has said so far.
class Handler {
 public:
  static constexpr std::size_t max_array_size = ListLimits::kMaxElements;
  static constexpr std::size_t max_object_size = ListLimits::kMaxFields;
  static constexpr std::size_t max_string_size = ListLimits::kMaxStringBytes;
  static constexpr std::size_t max_key_size = ListLimits::kMaxStringBytes;

  EndpointTable table;
  std::int64_t version = 0;
  bool full = false;
  std::string why;  // of a failure that is not the parser's

  void restart() {
    version_ = full_ = servers_ = false;
    version = 0;
    full = false;
    depth_ = 0;
    in_servers_ = false;
    deleted_ = 0;
    why.clear();
    if (table.bytes() > kKept) {
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
    if (key_.size() <= kLongestKey) key_.append(s.substr(0, kLongestKey + 1));
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
    if (s.size() == n) field()->forget();
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
    for (Field& field : fields_) field.forget();
    field_ = kFields;
    return true;
  }

  bool on_object_end(std::size_t, error_code& ec) {
    if (--depth_ == 0) return finish(ec);
    return depth_ != kServers || !in_servers_ || stage(ec);
  }

  bool on_array_begin(error_code& ec) {
    if (depth_ == 0) return fail("not an object", ec);
    if (depth_ == kTop && top_ == Top::servers) {
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
  enum class Top { version, full, servers, other };
  enum FieldName { kId, kKind, kZone, kState, kAddr, kCell, kWeight, kStarted, kFields };
  enum Depth : std::size_t {
    kTop = 1,
    kServers = 2,
    kEntry = 3
  };                                              // of what is inside the object, the array, an entry
  static constexpr std::size_t kKept = 1 << 20;   // memory that is kept from one list to the next (ours)
  static constexpr std::size_t kLongestKey = 10;  // started_ms

  static FieldName field_of(std::string_view key) {
    constexpr std::array<std::string_view, kFields> kNames{"id",   "kind", "zone",   "state",
                                                           "addr", "cell", "weight", "started_ms"};
    std::size_t at = 0;
    while (at < kFields && kNames[at] != key) ++at;
    return static_cast<FieldName>(at);
  }

  Field* field() { return depth_ == kEntry && in_servers_ && field_ != kFields ? &fields_[field_] : nullptr; }

  bool fail(std::string why_not, error_code& ec) {
    why = std::move(why_not);
    ec = json::make_error_code(json::error::syntax);
    return false;
  }

  bool on_top_key(error_code& ec) {
    top_ = Top::other;
    if (key_ == "version") return once(version_, Top::version, ec);
    if (key_ == "full") return once(full_, Top::full, ec);
    if (key_ == "servers") return once(servers_, Top::servers, ec);
    return true;
  }

  bool once(bool& said, Top field, error_code& ec) {
    top_ = field;
    return !std::exchange(said, true) || fail(key_ + ": said twice", ec);
  }

  // Whatever is no text of a field: texts, objects and arrays come as null.
  bool on_value(json::value value, error_code& ec) {
    if (depth_ == 0) return fail("not an object", ec);
    if (Field* const said = field()) {
      said->forget();
      said->present = true;
      said->other = std::move(value);
    }
    if (depth_ != kTop) return true;
    if (top_ == Top::servers) return fail("servers: not a list", ec);
    if (top_ == Top::full) full = value.is_bool() && value.as_bool();
    if (top_ != Top::version) return true;
    const auto said = number<std::int64_t>(value);
    if (!said) return fail("version: not a whole number", ec);
    version = *said;
    return true;
  }

  // The entry that has just ended, unless it is one to pass over.
  bool stage(error_code& ec) {
    Entry entry;
    entry.id = fields_[kId].text;
    entry.kind = fields_[kKind].text;
    entry.zone = fields_[kZone].text;
    const auto state = parse_state(fields_[kState].text);
    if (entry.id.empty() || !state) return true;
    if (fields_[kId].overlong || fields_[kKind].overlong || fields_[kZone].overlong) return true;
    entry.state = *state;
    if (fields_[kCell].present) {
      const auto cell = number<std::uint64_t>(fields_[kCell].other);
      if (!cell) return true;
      entry.cell = *cell;
    } else if (entry.state == EndpointState::serving) {
      return true;
    }
    if (fields_[kWeight].present) {
      const auto weight = number<double>(fields_[kWeight].other);
      if (!weight) return true;
      entry.weight = *weight;
    }
    entry.started_ms = number<std::int64_t>(fields_[kStarted].other).value_or(0);
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
    return table.bytes() <= ListLimits::kMaxStagedBytes || fail("too much for the memory", ec);
  }

  bool finish(error_code& ec) {
    if (!servers_) return fail("servers: not a list", ec);
    if (!full || deleted_ == 0) return true;
    if (deleted_ > ListLimits::kMaxDeletedBeforeFull) return fail("a whole list of deleted endpoints", ec);
    for (Slot slot = 0; slot < table.slot_end(); ++slot) {
      std::string gone;
      table.for_each(slot, 1, [&](Slot, const Entry& entry) {
        if (entry.state == EndpointState::deleted) gone = entry.id;
      });
      if (!gone.empty()) table.erase(gone);
    }
    return true;
  }

  bool version_ = false, full_ = false, servers_ = false;  // have been said
  std::size_t depth_ = 0;
  bool in_servers_ = false;
  Top top_ = Top::other;  // the field of the list being read
  std::string key_;
  FieldName field_ = kFields;  // of the entry being read; kFields: an unknown one
  std::array<Field, kFields> fields_;
  std::size_t deleted_ = 0;  // staged so far, at most
};

json::parse_options options() {
  json::parse_options chosen;
  chosen.max_depth = ListLimits::kMaxDepth;
  return chosen;
}

}  // namespace

struct ListReader::Body {
  json::basic_parser<Handler> parser{options()};
  Status status = Status::needs_more;
  std::uint64_t taken = 0;
  error_code error;

  Handler& list() { return parser.handler(); }
};

ListReader::ListReader() : body_(std::make_unique<Body>()) {}
ListReader::~ListReader() = default;
ListReader::ListReader(ListReader&&) noexcept = default;
ListReader& ListReader::operator=(ListReader&&) noexcept = default;

ListReader::Status ListReader::feed(std::string_view& bytes, std::size_t most) {
  Body& b = *body_;
  const std::string_view piece = bytes.substr(0, most);
  if (b.status != Status::needs_more || piece.empty()) return b.status;
  const std::size_t taken = b.parser.write_some(true, piece.data(), piece.size(), b.error);
  bytes.remove_prefix(taken);
  b.taken += taken;
  if (b.error) {
    b.status = Status::invalid;
  } else if (b.parser.done()) {
    b.status = Status::complete;
  }
  return b.status;
}

ListReader::Status ListReader::status() const { return body_->status; }
std::uint64_t ListReader::bytes_consumed() const { return body_->taken; }

std::string ListReader::error() const {
  if (body_->status != Status::invalid) return {};
  const std::string& why = body_->list().why;
  return "list of endpoints, before byte " + std::to_string(body_->taken) + ": " +
         (why.empty() ? body_->error.message() : why);
}

std::int64_t ListReader::version() const { return body_->list().version; }
bool ListReader::full() const { return body_->list().full; }
const EndpointTable& ListReader::entries() const { return body_->list().table; }
EndpointTable ListReader::take_entries() { return std::exchange(body_->list().table, EndpointTable()); }

void ListReader::reset() {
  body_->parser.reset();
  body_->list().restart();
  body_->status = Status::needs_more;
  body_->taken = 0;
  body_->error = {};
}

}  // namespace valedrum::catalog
