// Admin requests of operators. Either process may receive one; the active process handles it.
#include <utility>

#include "handover.h"

namespace myrtlegrade {

void Handover::on_admin_request(const std::string& line, const AdminServer::Reply& reply) {
  if (line == "HEALTH") {
    if (ending_) return reply("NAK ending");
    if (relay_) return reply(relay_->ready() ? "ACK" : "NAK no host is known yet");
    return reply(standing_by_ ? "ACK" : "NAK not ready to take over");
  }
  if (handed_over_) return forward_admin_request(successor_, line, reply);
  if (relay_ && line == "FLEET")
    return reply(fleet_ ? "ACK " + fleet_->view() : "NAK this relay is in no fleet");
  if (relay_ && line == "COPIES")
    return reply(relay_->copies() ? "ACK " + relay_->copies()->state() : "NAK this relay makes no copies");
  if (relay_) return reply(relay_->execute_admin_command(line));
  forward_admin_request(predecessor_, line, reply);
}

void Handover::forward_admin_request(const LinkPtr& link, const std::string& line,
                                     const AdminServer::Reply& reply) {
  if (!link) return reply("NAK not serving");
  link->send(RecordWriter(HandoverFrame::admin_request).number(++last_token_).text(line));
  forwarded_requests_.emplace(last_token_, ForwardedRequest{line, reply});
}

void Handover::on_admin_reply(RecordReader& in, bool returned) {
  const auto found = forwarded_requests_.find(in.number());
  if (found == forwarded_requests_.end()) return;
  const ForwardedRequest request = std::move(found->second);
  forwarded_requests_.erase(found);
  if (!returned) return request.reply(in.text());
  on_admin_request(request.line, request.reply);
}

void Handover::fail_forwarded_requests() {
  for (const auto& [token, request] : std::exchange(forwarded_requests_, {}))
    request.reply("NAK not serving");
}

}  // namespace myrtlegrade
