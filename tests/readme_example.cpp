#include <vetchhinge/policy.h>

#include <array>
#include <chrono>
#include <vector>

// A relay with one class of message and one host: the first step is told the list and a message.
std::vector<vetchhinge::Action> first_step() {
  using namespace std::chrono_literals;
  vetchhinge::Settings settings;
  settings.slots = 8;
  settings.max_open = 40;
  settings.max_attempts = 4;
  settings.connection_idle = 9s;
  settings.tick = 5ms;
  settings.classes = {{.aim = 1s, .deadline = 5s, .effect = vetchhinge::Effect::idempotent}};
  settings.kinds = {{}};
  vetchhinge::Sender sender(settings);

  const vetchhinge::Time now(100s);
  const vetchhinge::HostList hosts{
      vetchhinge::HostList::Kind::cached,
      {{vetchhinge::HostId(0), vetchhinge::DestinationId(3), vetchhinge::ZoneId(0)}}};
  vetchhinge::Message message{vetchhinge::MessageId(9), 0, vetchhinge::DestinationId(3), now + 5s};
  const std::array<vetchhinge::Event, 2> events{hosts, message};
  return sender.step(now, events);  // a Send to host 0, and the timer for the next look
}
