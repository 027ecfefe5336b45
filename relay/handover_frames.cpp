#include "handover_frames.h"

#include <algorithm>
#include <string>

#include "journal_records.h"

namespace myrtlegrade {

namespace catalog = valedrum::catalog;
using vetchhinge::HostId;
using vetchhinge::Time;

namespace {

std::string name_of(const vetchhinge::drill::Names& names, HostId host) {
  return names.name(static_cast<std::uint32_t>(host));
}

std::string format_address(const Endpoint& address) {
  return address.address().to_string() + ":" + std::to_string(address.port());
}

void write_limit_group(RecordWriter& out, const vetchhinge::LimitGroupSnapshot& l) {
  out.number(static_cast<std::uint64_t>(l.cap)).flag(l.slow).flag(l.failing);
  out.number(static_cast<std::uint64_t>(l.failure_weight))
      .number(static_cast<std::uint64_t>(l.consecutive_rejections));
  out.time(l.rejected_since)
      .time(l.server_backoff_until)
      .time(l.local_backoff_until)
      .real(l.paced_rate)
      .time(l.paced_rate_cut_at);
  out.real(l.baseline_p95).real(l.rate_before_outage).real(l.baseline_rate).real(l.arrival_rate);
  out.number(l.latencies.size());
  for (const auto& [at, value] : l.latencies) out.time(at).real(value);
}

enum class GroupsWritten { with_host, without_host };

// A group is identified by the name of a host, or by its destination if it has no host.
void write_limit_groups(RecordWriter& out, const vetchhinge::LearnedState& learned, GroupsWritten written,
                        const vetchhinge::drill::Names& hosts) {
  const auto selected = [written](const vetchhinge::LimitGroupSnapshot& group) {
    return group.host.has_value() == (written == GroupsWritten::with_host);
  };
  out.number(static_cast<std::uint64_t>(std::ranges::count_if(learned.limit_groups, selected)));
  for (const vetchhinge::LimitGroupSnapshot& group : learned.limit_groups) {
    if (!selected(group)) continue;
    if (group.host) out.text(name_of(hosts, *group.host));
    if (!group.host) out.number(static_cast<std::uint64_t>(group.destination));
    write_limit_group(out, group);
  }
}

void read_limit_group(RecordReader& in, vetchhinge::LimitGroupSnapshot& l) {
  const auto integer = [&] { return static_cast<int>(in.number()); };
  l.cap = integer();
  l.slow = in.flag();
  l.failing = in.flag();
  l.failure_weight = integer();
  l.consecutive_rejections = integer();
  l.rejected_since = in.time<Time>();
  l.server_backoff_until = in.time<Time>();
  l.local_backoff_until = in.time<Time>();
  l.paced_rate = in.real();
  l.paced_rate_cut_at = in.time<Time>();
  l.baseline_p95 = in.real();
  l.rate_before_outage = in.real();
  l.baseline_rate = in.real();
  l.arrival_rate = in.real();
  for (std::size_t samples = in.count(); samples > 0 && in.good; --samples) {
    const Time at = in.time<Time>();
    l.latencies.emplace_back(at, in.real());
  }
}

void read_limit_groups(RecordReader& in, vetchhinge::LearnedState& learned, GroupsWritten written,
                       vetchhinge::drill::Names& hosts) {
  for (std::size_t n = in.count(); n > 0 && in.good; --n) {
    auto& group = learned.limit_groups.emplace_back();
    if (written == GroupsWritten::with_host) {
      group.host = HostId(hosts.number(in.text()));
    } else {
      group.destination = vetchhinge::DestinationId(in.number());
    }
    read_limit_group(in, group);
  }
}

}  // namespace

RecordWriter write_handover_state(const HandoverState& state, const catalog::EndpointTable& list,
                                  const vetchhinge::drill::Names& hosts) {
  RecordWriter out(HandoverFrame::handover);
  out.flag(state.leaving).number(state.descriptors).number(state.last_call).flag(state.unknown_calls_open);
  out.number(static_cast<std::uint64_t>(state.list.version)).number(list.size());
  list.for_each(0, list.slot_end(), [&](catalog::Slot, const catalog::Entry& e) {
    out.text(e.id).text(e.kind).text(e.zone).number(e.cell).flag(e.state == catalog::EndpointState::serving);
    out.real(e.weight).text(format_address(to_endpoint(e.address)));
  });
  write_limit_groups(out, state.learned, GroupsWritten::with_host, hosts);
  out.number(state.learned.hosts.size());
  for (const vetchhinge::HostSnapshot& h : state.learned.hosts) {
    out.text(name_of(hosts, h.host)).flag(h.in_slow_start).flag(h.slow_start_since.has_value());
    out.time(h.slow_start_since.value_or(Time{})).number(static_cast<std::uint64_t>(h.failure_weight));
    out.time(h.retry_at).time(h.last_success).real(h.slow_start_budget);
  }
  out.number(state.in_flight.size());
  for (const HandedOverAttempt& a : state.in_flight) {
    out.text(a.owner)
        .text(a.message)
        .text(a.cls)
        .number(a.destination)
        .number(a.attempt)
        .text(a.host)
        .text(a.zone);
    out.number(a.call).time(a.sent_at).flag(a.message_completed);
    out.flag(a.reported_result.has_value());
    if (a.reported_result) write_result(out, *a.reported_result);
    out.flag(a.call_end.has_value());
    if (a.call_end) out.number(static_cast<std::uint64_t>(*a.call_end));
  }
  // At the end, because processes without this part ignore what follows the calls.
  write_limit_groups(out, state.learned, GroupsWritten::without_host, hosts);
  return out;
}

std::optional<HandoverState> read_handover_state(RecordReader& in, vetchhinge::drill::Names& hosts) {
  HandoverState state;
  const auto host = [&] { return HostId(hosts.number(in.text())); };
  const auto integer = [&] { return static_cast<int>(in.number()); };
  state.leaving = in.flag();
  state.descriptors = in.number();
  state.last_call = in.number();
  state.unknown_calls_open = in.flag();
  state.list.version = static_cast<std::int64_t>(in.number());
  for (std::size_t n = in.count(); n > 0 && in.good; --n) {
    const std::string id = in.text(), kind = in.text(), zone = in.text();
    catalog::Entry e;
    e.id = id;
    e.zone = zone;
    e.kind = kind;
    e.cell = in.number();
    e.state = in.flag() ? catalog::EndpointState::serving : catalog::EndpointState::draining;
    e.weight = in.real();
    const auto address = catalog::parse_address(in.text());
    if (!in.good || !address) return std::nullopt;
    e.address = *address;
    state.list.entries.put(e);
  }
  read_limit_groups(in, state.learned, GroupsWritten::with_host, hosts);
  for (std::size_t n = in.count(); n > 0 && in.good; --n) {
    auto& h = state.learned.hosts.emplace_back();
    h.host = host();
    h.in_slow_start = in.flag();
    const bool slow_start = in.flag();
    const Time since = in.time<Time>();
    if (slow_start) h.slow_start_since = since;
    h.failure_weight = integer();
    h.retry_at = in.time<Time>();
    h.last_success = in.time<Time>();
    h.slow_start_budget = in.real();
  }
  for (std::size_t n = in.count(); n > 0 && in.good; --n) {
    HandedOverAttempt& a = state.in_flight.emplace_back();
    a.owner = in.text();
    a.message = in.text();
    a.cls = in.text();
    a.destination = in.number();
    a.attempt = static_cast<std::uint32_t>(in.number());
    a.host = in.text();
    a.zone = in.text();
    a.call = in.number();
    a.sent_at = in.time<WallTime>();
    a.message_completed = in.flag();
    if (in.flag()) a.reported_result = read_result(in);
    if (in.flag()) a.call_end = static_cast<CallEnd>(in.number());
  }
  if (!in.empty()) read_limit_groups(in, state.learned, GroupsWritten::without_host, hosts);
  if (!in.good) return std::nullopt;
  return state;
}

RecordWriter write_outcome(const std::string& message, std::uint32_t attempt, const CallResult& r) {
  RecordWriter out(HandoverFrame::outcome);
  return write_result(out.text(message).number(attempt), r);
}

RecordWriter& write_result(RecordWriter& out, const CallResult& r) {
  out.number(static_cast<std::uint64_t>(r.result)).flag(r.terminal);
  out.duration(r.wait_hint).duration(r.elapsed).flag(r.limit_report.has_value());
  const auto report = r.limit_report.value_or(vetchhinge::LimitReport{});
  out.real(report.share_left).real(report.calls_per_second);
  return out.flag(r.connection.established).duration(r.connection.idle);
}

CallResult read_result(RecordReader& in) {
  CallResult r;
  r.result = static_cast<vetchhinge::Result>(in.number());
  r.terminal = in.flag();
  r.wait_hint = in.duration();
  r.elapsed = in.duration();
  const bool has_report = in.flag();
  vetchhinge::LimitReport report;
  report.share_left = in.real();
  report.calls_per_second = in.real();
  if (has_report) r.limit_report = report;
  r.connection.established = in.flag();
  r.connection.idle = in.duration();
  return r;
}

RecordWriter write_call_ended(std::uint64_t call, CallEnd end) {
  RecordWriter out(HandoverFrame::call_ended);
  return out.number(call).number(static_cast<std::uint64_t>(end));
}

RecordWriter write_config_reload(const ConfigReload& reload) {
  RecordWriter out(HandoverFrame::config_reloaded);
  return out.time(steady_time(reload.read_at)).text(format_address(reload.discovery));
}

std::optional<ConfigReload> read_config_reload(RecordReader& in) {
  const Time read_at = in.time<Time>();
  const auto address = catalog::parse_address(in.text());
  if (!in.good || !address) return std::nullopt;
  return ConfigReload{std::chrono::steady_clock::time_point(read_at.time_since_epoch()),
                      to_endpoint(*address)};
}

RecordWriter write_submission(std::uint64_t token, const SubmittedMessage& m) {
  RecordWriter out(HandoverFrame::submit);
  out.number(token).text(m.id).text(m.cls).number(m.destination).text(m.key).text(m.body);
  return write(out, m.deadline);
}

SubmittedMessage read_submission(RecordReader& in) {
  SubmittedMessage m;
  m.id = in.text();
  m.cls = in.text();
  m.destination = in.number();
  m.key = in.text();
  m.body = in.text();
  m.deadline = read_timestamp(in);
  return m;
}

RecordWriter write_answer(std::uint64_t token, const Answer& answer) {
  RecordWriter out(HandoverFrame::answer);
  return out.number(token).number(static_cast<std::uint64_t>(answer.kind)).duration(answer.retry_after);
}

Answer read_answer(RecordReader& in) {
  Answer answer;
  answer.kind = static_cast<Answer::Kind>(in.number());
  answer.retry_after = std::chrono::duration_cast<std::chrono::milliseconds>(in.duration());
  return answer;
}

}  // namespace myrtlegrade
