// Tracks which images machines hold and fetch, and learns whether concurrent fetches share a
// machine's rate.
#include <cmath>

#include "controller/controller.hpp"

namespace sailreel {

// Records that the machine holds the job's image, since a task of the job waits or runs there.
void Controller::note_image(Machine& m, const JobSpec& spec) {
  note_fetch_ended(m, spec.image);
  if (m.recorded && !m.has_image(spec.image)) checkpoint_.mark_images_changed(m.name);
  m.touch_image(spec.image, spec.image_gb);
}

// Records that the machine fetches the job's image from now on, unless it holds or fetches it
// already.
void Controller::note_fetch_begun(Machine& m, const JobSpec& s) {
  const MachineType* t = tables_.type(m.type);
  if (t == nullptr || t->fetch_gb_per_s <= 0 || m.has_image(s.image)) return;
  for (const Fetch& f : m.fetching_now)
    if (f.image == s.image) return;
  // A worker drops a fetch that no task waits for any more, but its entry stays in this list. The
  // list is bounded by dropping the oldest entries.
  constexpr std::size_t kMost = 16;
  if (m.fetching_now.size() >= kMost) m.fetching_now.erase(m.fetching_now.begin());
  m.fetching_now.push_back({s.image, clock_.now, s.image_gb / t->fetch_gb_per_s, 0});
}

// Records that a fetch has ended, and learns from it whether images fetched at the same time share
// a machine's rate: the protocol's documents say that they may, and both behaviours were observed.
// Of two fetches that began together, the later one to end tells: it took either its own time or
// the time of both.
void Controller::note_fetch_ended(Machine& m, const std::string& image) {
  const auto it = std::find_if(m.fetching_now.begin(), m.fetching_now.end(),
                               [&](const Fetch& f) { return f.image == image; });
  if (it == m.fetching_now.end()) return;
  const Fetch ended = *it;
  m.fetching_now.erase(it);
  const double took = static_cast<double>(clock_.now - ended.since) / 1000.0;
  for (Fetch& f : m.fetching_now)
    if (std::abs(f.since - ended.since) < heartbeat_interval()) f.beside_s += ended.alone_s;
  // The concurrent fetches were too short to tell the two cases apart.
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

// How many images a machine may fetch at the same time. If concurrent fetches share the rate,
// fetching one image after the other finishes the last one no later and the first one sooner. While
// that is unknown, two concurrent fetches are allowed, because only concurrent fetches show it.
std::size_t Controller::fetch_limit() const {
  return fetch_votes_ > 0 ? 1 : fetch_votes_ < 0 ? 8 : 2;
}

}  // namespace sailreel
