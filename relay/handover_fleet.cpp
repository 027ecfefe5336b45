// The active process as a member of the fleet: it joins the view, and learns from it who may store copies.
#include <iostream>

#include "handover.h"

namespace myrtlegrade {

using namespace std::chrono_literals;

namespace {

constexpr auto kFreeSpaceInterval = 5s;  // between updates of the free space for copies

}  // namespace

// The relay serves even if it can't join the fleet.
void Handover::join_fleet() {
  if (!config_.fleet) return;
  try {
    fleet_ =
        std::make_shared<Fleet>(executor_, *config_.fleet, config_.name, config_.state_folder, config_.seed);
    if (relay_->copies()) start_copies();
    fleet_->start();
  } catch (const std::exception& e) {
    std::cerr << "myrtlegrade: fleet: stays out: " << e.what() << std::endl;
    fleet_ = nullptr;
  }
}

// Copies may be placed at the members that publish in the fleet's view that they accept copies.
void Handover::start_copies() {
  namespace copies = valedrum::copies;
  namespace membership = valedrum::membership;
  publish_free_space();
  fleet_->on_change([this, net = relay_->copies()](const membership::Membership& members) {
    std::vector<copies::Candidate> candidates;
    const auto accepts_copies = [](const membership::Record& r) {
      return r.published_version == copies::kFormat;
    };
    for (const membership::Record& r : members.healthy_members(accepts_copies)) {
      const auto published = copies::decode_published(r.published);
      if (published)
        candidates.push_back({{r.name, published->storage_id, published->address},
                              r.machine,
                              r.zone,
                              published->free_eighths});
    }
    net->set_candidates(std::move(candidates));
  });
}

void Handover::publish_free_space() {
  if (!fleet_ || handed_over_) return;
  std::string record = encode(relay_->copies()->published());
  if (record != published_record_)
    fleet_->publish(valedrum::copies::kFormat, published_record_ = std::move(record));
  free_space_timer_.expires_after(kFreeSpaceInterval);
  free_space_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) publish_free_space();
  });
}

}  // namespace myrtlegrade
