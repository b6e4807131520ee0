// How many machines: rented for what waits and for what may come, returned when idle.
#include <cmath>

#include "coordination/core.hpp"

namespace sailreel {
namespace {
constexpr std::uint32_t kMaxRental = 50;
constexpr std::size_t kMaxRelease = 100;
/// A machine that takes this many times its type's boot time isn't waited for any more, and one
/// that takes this many times is given up.
constexpr double kLateBoot = 1.3, kDeadBoot = 3;
/// How much of the room that running arrays will have left once a machine has booted is counted on.
constexpr double kRelief = 0.5;
/// Beyond so many times the headroom machines are returned; between the two nothing changes.
constexpr double kReturnHeadroom = 1.2;
/// One in so many machines may be on its way to be emptied.
constexpr std::size_t kRetiringShare = 32;
/// No machine is emptied until nothing has waited for an ordinary one for so many workers' leases.
constexpr Time kRetireLeases = 2;

std::string place_key(const std::string& type, const std::string& zone, bool spot) {
  return type + "/" + zone + (spot ? "/spot" : "/ordinary");
}
}  // namespace

void Core::fleet_tick() {
  poll_cloud();
  if (tables_.types.empty()) return;
  if (clock_.now >= next_sizing_) {
    next_sizing_ = clock_.now + std::max<Time>(200, report_interval() / 4);
    size_fleet();
    return_idle();
  }
  send_rentals();
  send_releases();
}

void Core::poll_cloud() {
  const Time now = clock_.now;
  const std::uint64_t term = term_;
  if (now >= next_types_) {
    CloudCall call;
    call.kind = CloudCall::Kind::Types;
    if (call_cloud(
            call,
            [this, term](const CloudReply& r) {
              if (term != term_) return;
              if (r.status == 200)
                take_types(r);
              else
                next_types_ = clock_.now + 1000;
            },
            !tables_.types.empty()))
      next_types_ = now + 6 * worker_lease();
  }
  if (now >= next_list_ && !listing_) {
    CloudCall call;
    call.kind = CloudCall::Kind::List;
    listing_ = call_cloud(
        call,
        [this, term](const CloudReply& r) {
          if (term == term_) take_list(r);
        },
        true);
    if (listing_) next_list_ = now + std::max<Time>(ms(settings_.market.list_lag_s / 2), 1000);
  }
}

void Core::take_types(const CloudReply& r) {
  tables_.types = r.types;
  for (auto& [name, m] : tables_.machines) tables_.size_machine(*m);
  placement_dirty_ = true;
}

void Core::take_list(const CloudReply& r) {
  const Time now = clock_.now;
  listing_ = false;
  if (r.status != 200) return;
  for (const ListedMachine& l : r.machines) {
    // Lists lag: what we returned is listed for a while.
    if (released_.contains(l.name)) continue;
    Machine* known = tables_.machine(l.name);
    if (known == nullptr && l.state == ListedMachine::State::Failed) {
      release_queue_.insert(l.name);
      continue;
    }
    Machine& m = tables_.add_machine(l.name, now);
    if (known == nullptr)
      log(Log::Level::Info, "event=machine_found machine=", l.name, " zone=", l.zone);
    if (!m.reported) {
      m.type = l.type;
      m.zone = l.zone;
      m.spot = l.spot;
      m.rented = std::min(m.rented, now - ms(l.age_s));
      tables_.size_machine(m);
    }
    if (m.address.empty() && !l.address.empty()) m.address = l.address;
    m.listed_running = l.state == ListedMachine::State::Running;
    // A failed machine has stopped by itself; returning it takes it off the list.
    if (l.state == ListedMachine::State::Failed && !m.releasing) release(m, "failed");
  }
  if (r.more && !r.machines.empty()) {
    const std::uint64_t term = term_;
    CloudCall call;
    call.kind = CloudCall::Kind::List;
    call.after = r.machines.back().name;
    listing_ = call_cloud(
        call,
        [this, term](const CloudReply& next) {
          if (term == term_) take_list(next);
        },
        false);
  }
  for (auto it = released_.begin(); it != released_.end();)
    it = now - it->second > 20 * worker_lease() + ms(4 * settings_.market.list_lag_s)
             ? released_.erase(it)
             : std::next(it);
}

void Core::size_fleet() {
  const Time now = clock_.now;
  // Machines still booting, by type and kind; those late aren't counted on any more.
  std::map<std::pair<std::string, bool>, double> coming;
  std::map<std::pair<std::string, bool>, std::map<std::string, int>> by_zone;
  for (const auto& [name, m] : tables_.machines) {
    if (m->type.empty() || m->releasing) continue;
    const MachineType* t = tables_.type(m->type);
    if (t == nullptr) continue;
    ++by_zone[{m->type, m->spot}][m->zone];
    if (!m->reported && !zone_away(m->zone) && now - m->rented < ms(t->boot_s * kLateBoot))
      coming[{m->type, m->spot}] += 1;
  }
  for (const auto& [request, r] : rentals_) {
    if (!zone_away(r.request.zone)) coming[{r.request.type, r.request.spot}] += r.request.count;
    by_zone[{r.request.type, r.request.spot}][r.request.zone] += static_cast<int>(r.request.count);
  }

  auto [size, used] = ordinary_room();

  // For each kind of waiting work, the cheapest type that takes it.
  std::map<std::pair<std::string, bool>, Resources> demand;
  const auto cheapest = [&](const Want& u, bool spot) -> const MachineType* {
    const MachineType* best = nullptr;
    double best_price = 0;
    for (const MachineType& t : tables_.types) {
      if (!u.any_type && std::find(u.types.begin(), u.types.end(), t.name) == u.types.end())
        continue;
      if (!u.each.fits_in(t.size)) continue;
      double slots = 1e9;
      if (u.each.cpus > 0) slots = std::min(slots, t.size.cpus / u.each.cpus);
      if (u.each.gpus > 0) slots = std::min(slots, t.size.gpus / u.each.gpus);
      if (u.each.memory_gb > 0) slots = std::min(slots, t.size.memory_gb / u.each.memory_gb);
      bool open = false;
      for (const std::string& z : t.zones)
        if ((u.zone.empty() || u.zone == z) && refused_[place_key(t.name, z, spot)] <= now)
          open = true;
      if (!open) continue;
      const double price = (spot ? t.spot_price : t.price) / std::max(1.0, std::floor(slots));
      if (best == nullptr || price < best_price) {
        best = &t;
        best_price = price;
      }
    }
    return best;
  };
  // Arrays' tasks end by themselves: by the time that a machine has booted, some of the room that
  // they take is free for those that wait.
  Resources relief;
  for (const auto& [name, m] : tables_.machines) {
    const MachineType* t = tables_.type(m->type);
    if (t == nullptr || !usable(*m)) continue;
    for (const Placement& p : m->placements)
      if (p.held && p.job != nullptr && p.job->spec().kind != JobKind::Service) {
        const double share = kRelief * t->boot_s / (t->boot_s + p.job->spec().estimate_s);
        relief += {p.need.cpus * share, p.need.gpus * share, p.need.memory_gb * share};
      }
  }
  // Work that nobody was promised, and that may use cheap machines, waits for these. An ordinary
  // one is rented for it only as far as the fleet stays within twice its headroom, and one beyond,
  // so that it gets on where there are no cheap ones: a guest's array once filled a zone's dear
  // machines.
  ordinary_awaited_ = false;
  const double most = 1 + 2 * options_.headroom_ratio;
  Resources beyond{used.cpus * most - size.cpus, used.gpus * most - size.gpus, 0};
  for (const auto& [kind, count] : coming)
    if (const MachineType* t = tables_.type(kind.first); t != nullptr && !kind.second) {
      beyond.cpus -= count * t->size.cpus;
      beyond.gpus -= count * t->size.gpus;
    }
  for (const auto& [name, m] : tables_.machines)
    if (!m->spot && m->retiring && usable(*m)) beyond -= m->size;
  for (Unmet u : unmet_) {
    const Resources& each = u.want.each;
    if (u.want.spot && u.tasks > 0) {
      double left = u.tasks;
      if (each.gpus > 0) left = std::min(left, relief.gpus / each.gpus);
      if (each.cpus > 0) left = std::min(left, relief.cpus / each.cpus);
      left = std::floor(std::max(0.0, left));
      const Resources served{each.cpus * left, each.gpus * left, each.memory_gb * left};
      relief -= served;
      u.total -= served;
    }
    if (u.want.spot) {
      if (const MachineType* t = cheapest(u.want, true)) {
        demand[{t->name, true}] += u.total;
        continue;
      }
    }
    const MachineType* t = cheapest(u.want, false);
    if (t == nullptr) continue;
    if (u.want.spot && !u.guaranteed) {
      constexpr double kSlack = 1e-6;
      ordinary_awaited_ = ordinary_awaited_ || (beyond.cpus + t->size.cpus >= -kSlack &&
                                                beyond.gpus + t->size.gpus >= -kSlack);
      double share = 1;
      if (u.total.cpus > 0)
        share = std::min(share, std::max(0.0, beyond.cpus + t->size.cpus) / u.total.cpus);
      if (u.total.gpus > 0)
        share = std::min(share, std::max(0.0, beyond.gpus + t->size.gpus) / u.total.gpus);
      u.total = {u.total.cpus * share, u.total.gpus * share, u.total.memory_gb * share};
      beyond -= u.total;
    }
    demand[{t->name, false}] += u.total;
  }
  // Headroom for services to come, as a share of what such work uses or waits for.
  for (const Unmet& u : unmet_)
    if (!u.want.spot) used += u.total;
  if (!tables_.types.empty() && (used.gpus > 0 || used.cpus > 0)) {
    if (const MachineType* t = cheapest(Want{}, false)) {
      // What waits has no room: beside it, all of the headroom is to be added.
      Resources& d = demand[{t->name, false}];
      const double share = 1 + options_.headroom_ratio;
      d.gpus = std::max(d.gpus, used.gpus * share - size.gpus);
      d.cpus = std::max(d.cpus, used.cpus * share - size.cpus);
    }
  }
  for (const auto& [kind, total] : demand) {
    const MachineType* t = tables_.type(kind.first);
    if (t == nullptr) continue;
    double machines = 0;
    if (t->size.gpus > 0) machines = std::max(machines, total.gpus / t->size.gpus);
    if (t->size.cpus > 0) machines = std::max(machines, total.cpus / t->size.cpus);
    if (t->size.memory_gb > 0) machines = std::max(machines, total.memory_gb / t->size.memory_gb);
    int want = static_cast<int>(std::ceil(machines - 0.01)) - static_cast<int>(coming[kind]);
    if (want <= 0) continue;
    // One by one to the zone that has the fewest, of those within reach if possible.
    std::map<std::string, std::uint32_t> split;
    auto& have = by_zone[kind];
    for (; want > 0; --want) {
      const std::string* zone = nullptr;
      for (const std::string& z : t->zones)
        if (refused_[place_key(t->name, z, kind.second)] <= now &&
            (zone == nullptr ||
             std::pair(zone_away(z), have[z]) < std::pair(zone_away(*zone), have[*zone])))
          zone = &z;
      if (zone == nullptr) break;
      ++have[*zone];
      ++split[*zone];
    }
    for (const auto& [zone, count] : split) rent(t->name, zone, kind.second, count);
  }
}

// Records a rental; the cloud is asked once that is committed.
void Core::rent(const std::string& type, const std::string& zone, bool spot, std::uint32_t count) {
  while (count > 0) {
    const std::uint32_t n = std::min(count, kMaxRental);
    count -= n;
    OpenRental r;
    // The epoch makes the name our own; no other node ever uses it.
    r.request = {"r-" + std::to_string(epoch_) + "-" + std::to_string(next_rental_++), type, zone,
                 spot, n};
    r.since = clock_.now;
    log(Log::Level::Info, "event=rent request=", r.request.request, " type=", type, " zone=", zone,
        " spot=", spot ? 1 : 0, " count=", n);
    rentals_[r.request.request] = std::move(r);
    rentals_dirty_ = true;
  }
}

void Core::send_rentals() {
  const Time now = clock_.now;
  const std::uint64_t term = term_;
  for (auto& [request, rental] : rentals_) {
    if (!rental.committed || rental.asking || now < rental.retry) continue;
    CloudCall call;
    call.kind = CloudCall::Kind::Rent;
    call.rental = rental.request;
    const std::string name = request;
    rental.asking = call_cloud(
        call,
        [this, term, name](const CloudReply& r) {
          if (term != term_) return;
          const auto it = rentals_.find(name);
          if (it == rentals_.end()) return;
          OpenRental& open = it->second;
          open.asking = false;
          const RentalRequest& q = open.request;
          if (r.status == 200) {
            for (const std::string& machine : r.names) {
              if (released_.contains(machine)) continue;
              Machine& m = tables_.add_machine(machine, clock_.now);
              if (!m.reported) {
                m.type = q.type;
                m.zone = q.zone;
                m.spot = q.spot;
                tables_.size_machine(m);
              }
            }
          }
          if (r.no_capacity || (r.status == 200 && r.names.size() < q.count)) {
            log(Log::Level::Info, "event=no_capacity request=", name, " got=", r.names.size(),
                " of=", q.count);
            refused_[place_key(q.type, q.zone, q.spot)] =
                clock_.now + std::max<Time>(ms(settings_.market.list_lag_s), 2000);
          }
          if (r.status == 200 || r.status == 400 || r.no_capacity) {
            rentals_.erase(it);
            rentals_dirty_ = true;
          } else {
            // No answer: the same request again, since it may have been carried out.
            open.retry = clock_.now + 1000;
          }
        },
        false);
    if (!rental.asking) return;
  }
}

void Core::drain(Machine& m, const char* why) {
  if (m.draining) return;
  m.draining = true;
  m.drain_cause = why;
  log(Log::Level::Info, "event=drain machine=", m.name, " cause=\"", why, "\"");
  drop_unsent(m);
  if (m.drain_cause == "faulty")
    for (Placement& p : m.placements)
      if (p.held && p.job != nullptr) stop_task(p, grace_for(*p.job));
}

void Core::release(Machine& m, const char* why) {
  if (m.releasing) return;
  m.releasing = m.draining = true;
  release_queue_.insert(m.name);
  log(Log::Level::Info, "event=release machine=", m.name, " cause=\"", why, "\"");
}

void Core::return_idle() {
  const Time now = clock_.now;
  auto [size, used] = ordinary_room();
  for (auto& [name, ptr] : tables_.machines) {
    Machine& m = *ptr;
    if (m.releasing) continue;
    const MachineType* t = tables_.type(m.type);
    if (t == nullptr) continue;
    if (!m.reported) {
      if (!m.recorded || !rebuilding_)
        if (now - m.rented > ms(t->boot_s * kDeadBoot) && now >= expiry(m))
          release(m, "never came up");
      continue;
    }
    if (!m.empty()) continue;
    if (m.draining || m.retiring) {
      release(m, m.retiring ? "retired" : m.drain_cause.c_str());
      continue;
    }
    if (rebuilding_ || m.idle_since == 0 ||
        now - m.idle_since < ms(t->boot_s * options_.idle_ratio))
      continue;
    if (!m.spot) {
      if (!spare(size, used, m)) continue;
      size -= m.size;
    }
    release(m, "idle");
  }
  retire(size, used);
}

// True if without the machine more than enough is left.
bool Core::spare(const Resources& size, const Resources& used, const Machine& m) const {
  const double keep = 1 + kReturnHeadroom * options_.headroom_ratio;
  return size.gpus - m.size.gpus >= used.gpus * keep && size.cpus - m.size.cpus >= used.cpus * keep;
}

// The size of the ordinary machines that take work, and what work that needs them uses; what may be
// stopped counts as free.
std::pair<Resources, Resources> Core::ordinary_room() const {
  Resources size, used;
  for (const auto& [name, m] : tables_.machines) {
    if (!usable(*m) || m->spot) continue;
    if (!m->retiring) size += m->size;
    for (const Placement& p : m->placements)
      if (p.held && (p.job == nullptr || !p.job->spec().spot)) used += p.need;
  }
  return {size, used};
}

// When more is up than is needed, the machines whose replicas are fewest are emptied: replicas end
// here and there, and no machine would empty by itself. Each goes where its image lies already.
void Core::retire(Resources size, const Resources& used) {
  // Emptied while such work waits for it, a machine was rented again each time.
  const bool wanted = ordinary_awaited_ || std::any_of(unmet_.begin(), unmet_.end(),
                                                       [](auto& u) { return !u.want.spot; });
  std::size_t up = 0, retiring = 0;
  // By how many tasks have to end or go.
  std::vector<std::pair<std::size_t, Machine*>> candidates;
  for (auto& [name, m] : tables_.machines) {
    if (m->spot || !usable(*m)) continue;
    ++up;
    if (wanted) m->retiring = false;
    retiring += m->retiring ? 1 : 0;
    if (wanted || m->retiring || m->empty()) continue;
    Resources moved;
    std::size_t held = 0;
    bool possible = true;
    for (const Placement& p : m->placements) {
      if (!p.held) continue;
      // An array's task is waited for.
      ++held;
      if (p.job != nullptr && p.job->spec().kind == JobKind::Array) continue;
      moved += p.need;
      possible = possible && movable(p);
    }
    if (possible && moved.gpus <= m->size.gpus / 2 && moved.cpus <= m->size.cpus / 2)
      candidates.emplace_back(held, m.get());
  }
  // Demand that comes and goes within seconds once had one machine marked 17 times in a day, and
  // its replicas moved each time.
  if (wanted) retire_not_before_ = clock_.now + kRetireLeases * worker_lease();
  if (rebuilding_ || clock_.now < retire_not_before_) return;
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const auto& a, const auto& b) { return a.first < b.first; });
  Promises under_way;
  for (const auto& [task, move] : moves_)
    if (const Machine* to = tables_.machine(move.to)) under_way[to] += move.need;
  // As many at a time as the fleet's size allows: one for each look at the fleet was too slow for
  // hundreds, when demand fell.
  for (const auto& [held, m] : candidates) {
    if (retiring > up / kRetiringShare) return;
    if (!spare(size, used, *m)) continue;
    auto promised = under_way;
    std::vector<std::pair<Placement*, const Machine*>> plan;
    bool possible = true;
    for (Placement& p : m->placements)
      if (p.held && p.job->spec().kind == JobKind::Service) {
        // What another machine's emptying has sent here stays.
        const Machine* to = under_way.contains(m) ? nullptr : warm_room(p, *m, promised);
        possible = to != nullptr;
        if (!possible) break;
        promised[to] += p.need;
        plan.emplace_back(&p, to);
      }
    if (!possible) continue;
    under_way = std::move(promised);
    m->retiring = true;
    size -= m->size;
    ++retiring;
    log(Log::Level::Info, "event=retire machine=", m->name, " moves=", plan.size());
    for (const auto& [p, to] : plan) move(*p, *m, *to);
  }
}

void Core::send_releases() {
  if (releasing_ || release_queue_.empty()) return;
  CloudCall call;
  call.kind = CloudCall::Kind::Release;
  for (const std::string& name : release_queue_) {
    if (call.names.size() >= kMaxRelease) break;
    call.names.push_back(name);
  }
  const std::uint64_t term = term_;
  const auto names = call.names;
  releasing_ = call_cloud(
      std::move(call),
      [this, term, names](const CloudReply& r) {
        if (term != term_) return;
        releasing_ = false;
        if (r.status != 200) return;
        for (const std::string& name : names) {
          release_queue_.erase(name);
          released_[name] = clock_.now;
          // The machine and everything on it is gone: the strongest proof there is.
          if (Machine* m = tables_.machine(name)) machine_gone(*m, "returned");
        }
      },
      false);
}

}  // namespace sailreel
