// Tracks which images machines hold and fetch, and learns whether concurrent fetches share a
// machine's rate.
#include <cmath>

#include "controller/controller.hpp"

namespace sailreel {

// A task runs, so its machine holds its image.
void Controller::note_image(Machine& m, const JobSpec& spec) {
  note_fetch_ended(m, spec.image);
  if (m.recorded && !m.has_image(spec.image)) checkpoint_.mark_images_changed(m.name);
  m.touch_image(spec.image, spec.image_gb);
}

void Controller::note_fetch_begun(Machine& m, const JobSpec& s) {
  const MachineType* t = tables_.type(m.type);
  if (t == nullptr || t->fetch_gb_per_s <= 0 || m.has_image(s.image)) return;
  for (const Fetch& f : m.fetching_now)
    if (f.image == s.image) return;
  // A worker drops a fetch that no task waits for any more; here the list's oldest entries are
  // dropped.
  constexpr std::size_t kMost = 16;
  if (m.fetching_now.size() >= kMost) m.fetching_now.erase(m.fetching_now.begin());
  m.fetching_now.push_back({s.image, clock_.now, s.image_gb / t->fetch_gb_per_s, 0});
}

// Learns whether images fetched at the same time share a machine's rate: the protocol's documents
// say that they may, and both were observed. Of two that began together, the later one tells: it
// took its own time, or that of both.
void Controller::note_fetch_ended(Machine& m, const std::string& image) {
  const auto it = std::find_if(m.fetching_now.begin(), m.fetching_now.end(),
                               [&](const Fetch& f) { return f.image == image; });
  if (it == m.fetching_now.end()) return;
  const Fetch ended = *it;
  m.fetching_now.erase(it);
  const double took = static_cast<double>(clock_.now - ended.since) / 1000.0;
  for (Fetch& f : m.fetching_now)
    if (std::abs(f.since - ended.since) < heartbeat_interval()) f.beside_s += ended.alone_s;
  // The other fetch was too short to tell the two cases apart.
  if (ended.beside_s < ended.alone_s / 2 || took <= 0) return;
  const double as_alone = std::abs(std::log(took / ended.alone_s));
  const double as_shared = std::abs(std::log(took / (ended.alone_s + ended.beside_s)));
  fetch_votes_ = std::clamp(fetch_votes_ + (as_shared < as_alone ? 1 : -1), -5, 5);
  outbox_.log(Log::Level::Debug, LogEvent::ImageFetchCompared,
              {{"machine", m.name},
               {"image", image},
               {"took_ms", clock_.now - ended.since},
               {"votes", fetch_votes_}});
}

// How many images a machine may fetch at the same time. Where they share the rate, fetching one
// after the other finishes no later and the first one sooner; until that is known, two are allowed,
// as this is how it is learnt.
std::size_t Controller::fetch_limit() const {
  return fetch_votes_ > 0 ? 1 : fetch_votes_ < 0 ? 8 : 2;
}

}  // namespace sailreel
