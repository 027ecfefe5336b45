// The operators' calls: they may come to either process, and the one that is the relay carries them out.
#include <utility>

#include "succession.h"

namespace myrtlegrade {

void Succession::called(const std::string& line, const AdminServer::Reply& reply) {
  if (line == "HEALTH") {
    if (ending_) return reply("NAK ending");
    if (relay_) return reply(relay_->ready() ? "ACK" : "NAK no host is known yet");
    return reply(standing_by_ ? "ACK" : "NAK not ready to take over");
  }
  if (given_over_) return ask_other(successor_, line, reply);
  if (relay_ && line == "FLEET")
    return reply(fleet_ ? "ACK " + fleet_->view() : "NAK this relay is in no fleet");
  if (relay_ && line == "COPIES")
    return reply(relay_->copies() ? "ACK " + relay_->copies()->state() : "NAK this relay makes no copies");
  if (relay_) return reply(relay_->execute_admin_command(line));
  ask_other(predecessor_, line, reply);
}

void Succession::ask_other(const Links& link, const std::string& line, const AdminServer::Reply& reply) {
  if (!link) return reply("NAK not serving");
  link->send(RecordWriter(Frame::call).number(++last_token_).text(line));
  questions_.emplace(last_token_, Question{line, reply});
}

void Succession::replied(RecordReader& in, bool returned) {
  const auto found = questions_.find(in.number());
  if (found == questions_.end()) return;
  const Question question = std::move(found->second);
  questions_.erase(found);
  if (!returned) return question.reply(in.text());
  called(question.line, question.reply);
}

void Succession::drop_questions() {
  for (const auto& [token, question] : std::exchange(questions_, {})) question.reply("NAK not serving");
}

}  // namespace myrtlegrade
