// Tracks which images machines hold and fetch, and learns whether concurrent fetches share a
// machine's rate.
#include <cmath>

#include "controller/controller.hpp"

namespace sailreel {

// Records that the machine holds the job's image, since a task of the job waits or runs there.
void Controller::record_image_held(Machine& machine, const JobSpec& spec) {
  record_fetch_finished(machine, spec.image);
  if (machine.recorded && !machine.has_image(spec.image))
    checkpoint_.mark_images_changed(machine.name);
  machine.touch_image(spec.image, spec.image_gb);
}

// Records that the machine fetches the job's image from now on, unless it holds or fetches it
// already.
void Controller::record_fetch_started(Machine& machine, const JobSpec& spec) {
  const MachineType* type = tables_.type(machine.type);
  if (type == nullptr || type->fetch_gb_per_s <= 0 || machine.has_image(spec.image)) return;
  for (const Fetch& fetch : machine.fetching_now)
    if (fetch.image == spec.image) return;
  // A worker drops a fetch that no task waits for any more, but its entry stays in this list. The
  // list is bounded by dropping the oldest entries.
  constexpr std::size_t kMaxFetches = 16;
  if (machine.fetching_now.size() >= kMaxFetches)
    machine.fetching_now.erase(machine.fetching_now.begin());
  machine.fetching_now.push_back({spec.image, clock_.now, spec.image_gb / type->fetch_gb_per_s, 0});
}

// Records that a fetch has ended, and learns from it whether images fetched at the same time share
// a machine's rate: the protocol's documents say that they may, and both behaviours were observed.
// Of two fetches that began together, the later one to end tells: it took either its own time or
// the time of both.
void Controller::record_fetch_finished(Machine& machine, const std::string& image) {
  const auto entry = std::find_if(machine.fetching_now.begin(), machine.fetching_now.end(),
                                  [&](const Fetch& fetch) { return fetch.image == image; });
  if (entry == machine.fetching_now.end()) return;
  const Fetch ended = *entry;
  machine.fetching_now.erase(entry);
  const double took_s = static_cast<double>(clock_.now - ended.since) / 1000.0;
  for (Fetch& fetch : machine.fetching_now)
    if (std::abs(fetch.since - ended.since) < heartbeat_interval())
      fetch.concurrent_s += ended.full_rate_s;
  // The concurrent fetches were too short to tell the two cases apart.
  if (ended.concurrent_s < ended.full_rate_s / 2 || took_s <= 0) return;
  const double error_if_alone = std::abs(std::log(took_s / ended.full_rate_s));
  const double error_if_shared =
      std::abs(std::log(took_s / (ended.full_rate_s + ended.concurrent_s)));
  fetch_votes_ = std::clamp(fetch_votes_ + (error_if_shared < error_if_alone ? 1 : -1), -5, 5);
  outbox_.log(Log::Level::Debug, LogEvent::ImageFetchCompared,
              {{"machine", machine.name},
               {"image", image},
               {"took_ms", clock_.now - ended.since},
               {"votes", fetch_votes_}});
}

// Returns how many images a machine may fetch at the same time. If concurrent fetches share the
// rate, fetching one image after the other finishes the last one no later and the first one sooner.
// While that is unknown, two concurrent fetches are allowed, because only concurrent fetches show
// it.
std::size_t Controller::fetch_limit() const {
  return fetch_votes_ > 0 ? 1 : fetch_votes_ < 0 ? 8 : 2;
}

}  // namespace sailreel
