#include "storage/tables.hpp"

#include <algorithm>
#include <utility>

namespace sailreel {

bool Machine::has_image(const std::string& image) const {
  return std::any_of(images.begin(), images.end(),
                     [&](const CachedImage& c) { return c.name == image; });
}

bool Machine::fetching(const std::string& image) const {
  return std::any_of(attempts.begin(), attempts.end(), [&](const TaskAttempt& p) {
    return p.held && p.job != nullptr && p.state <= AttemptState::Fetching &&
           p.job->spec().image == image;
  });
}

std::size_t Machine::fetches() const {
  std::size_t n = 0;
  for (auto p = attempts.begin(); p != attempts.end(); ++p) {
    const auto fetched = [&](const TaskAttempt& q) {
      return q.held && q.job != nullptr && q.state <= AttemptState::Fetching;
    };
    if (!fetched(*p) || has_image(p->job->spec().image)) continue;
    // Tasks that need the same image share one fetch.
    n += std::none_of(attempts.begin(), p, [&](const TaskAttempt& q) {
      return fetched(q) && q.job->spec().image == p->job->spec().image;
    });
  }
  return n;
}

void Machine::touch_image(const std::string& image, double gb) {
  for (auto it = images.begin(); it != images.end(); ++it)
    if (it->name == image) {
      images.splice(images.begin(), images, it);
      return;
    }
  images.push_front({image, gb});
  double total = 0;
  for (auto it = images.begin(); it != images.end(); ++it) {
    total += it->gb;
    if (total > cache_gb && it != images.begin()) {
      images.erase(it, images.end());
      return;
    }
  }
}

TaskAttempt* Machine::find(const TaskKey& key, std::uint64_t attempt) {
  for (TaskAttempt& p : attempts)
    if (p.attempt == attempt && p.key.index == key.index && p.key.job == key.job) return &p;
  return nullptr;
}

bool Job::only_in(const std::string& zone) const {
  return std::all_of(per_zone.begin(), per_zone.end(),
                     [&](const auto& tasks) { return tasks.first == zone; }) &&
         std::all_of(orphans.begin(), orphans.end(),
                     [&](const OrphanedAttempt& orphan) { return orphan.zone == zone; });
}

std::uint32_t Job::tasks_in(const std::string& zone) const {
  const auto placed_there = per_zone.find(zone);
  const auto orphans_there =
      std::count_if(orphans.begin(), orphans.end(),
                    [&](const OrphanedAttempt& orphan) { return orphan.zone == zone; });
  return (placed_there == per_zone.end() ? 0 : placed_there->second) +
         static_cast<std::uint32_t>(orphans_there);
}

bool Job::has_orphan(std::uint32_t index) const {
  return std::any_of(orphans.begin(), orphans.end(),
                     [&](const OrphanedAttempt& orphan) { return orphan.index == index; });
}

namespace {

std::optional<double> lower_of(double limit, std::optional<double> cap) {
  if (limit <= 0) return {};
  return cap ? std::min(limit, *cap) : limit;
}

}  // namespace

std::optional<double> TeamQuota::cpus_limit() const { return lower_of(limits.cpus_max, cpus_cap); }

std::optional<double> TeamQuota::gpus_limit() const { return lower_of(limits.gpus_max, gpus_cap); }

bool TeamQuota::within_cap(const Resources& total) const {
  constexpr double kSlack = 1e-6;
  const auto gpus = gpus_limit(), cpus = cpus_limit();
  return (!gpus || total.gpus <= *gpus + kSlack) && (!cpus || total.cpus <= *cpus + kSlack);
}

bool TeamQuota::allows(const Resources& more) const {
  Resources total = used;
  total += more;
  return within_cap(total);
}

bool TeamQuota::within_guarantee(const Resources& total) const {
  constexpr double kSlack = 1e-6;
  if (limits.gpus <= 0 && limits.cpus <= 0) return false;
  return (limits.gpus <= 0 || total.gpus <= limits.gpus + kSlack) &&
         (limits.cpus <= 0 || total.cpus <= limits.cpus + kSlack);
}

double TeamQuota::share() const {
  double s = 0;
  if (limits.gpus > 0) s = std::max(s, used.gpus / limits.gpus);
  if (limits.cpus > 0) s = std::max(s, used.cpus / limits.cpus);
  if (limits.gpus <= 0 && limits.cpus <= 0) s = 1 + used.gpus + used.cpus;
  return s;
}

Tables::Tables(const Settings& settings) {
  for (const Team& t : settings.teams) teams.push_back({t, {}, {}, {}});
}

void Tables::clear() {
  in_order.clear();
  image_priority.clear();
  jobs.clear();
  finished.clear();
  machines.clear();
  machines_by_shard_.clear();
  for (TeamQuota& t : teams) t.used = {};
}

Job* Tables::job(const std::string& id) {
  const auto it = jobs.find(id);
  return it == jobs.end() ? nullptr : it->second.get();
}

Machine* Tables::machine(const std::string& name) {
  const auto it = machines.find(name);
  return it == machines.end() ? nullptr : it->second.get();
}

TeamQuota* Tables::team(const std::string& name) {
  for (TeamQuota& t : teams)
    if (t.limits.name == name) return &t;
  return nullptr;
}

const MachineType* Tables::type(const std::string& name) const {
  for (const MachineType& t : types)
    if (t.name == name) return &t;
  return nullptr;
}

Job& Tables::add_job(JobRecord record) {
  auto job = std::make_unique<Job>();
  job->record = std::move(record);
  const std::uint32_t n = job->spec().tasks;
  if (job->record.done.size() != n) job->record.done = Bitmap(n);
  job->tasks.resize(n);
  for (std::uint32_t i = 0; i < n; ++i)
    if (job->record.done.test(i))
      job->tasks[i].state = TaskState::Done;
    else
      ++job->queued;
  job->order = next_order_++;
  job->team = team(job->spec().team);
  const auto [image, fresh] = image_priority.try_emplace(job->spec().image, job->spec().priority);
  if (!fresh) image->second = std::min(image->second, job->spec().priority);
  in_order[job->order] = job.get();
  Job& ref = *job;
  jobs[ref.spec().id] = std::move(job);
  return ref;
}

void Tables::remove_job(const std::string& id) {
  const auto it = jobs.find(id);
  if (it == jobs.end()) return;
  in_order.erase(it->second->order);
  jobs.erase(it);
}

Machine& Tables::add_machine(const std::string& name, Time now) {
  auto& slot = machines[name];
  if (!slot) {
    slot = std::make_unique<Machine>();
    slot->name = name;
    slot->launched = now;
    slot->idle_since = now;
    machines_by_shard_[machine_shard(name)].insert(name);
  }
  return *slot;
}

void Tables::remove_machine(const std::string& name) {
  const std::size_t shard = machine_shard(name);
  if (const auto it = machines_by_shard_.find(shard); it != machines_by_shard_.end()) {
    it->second.erase(name);
    if (it->second.empty()) machines_by_shard_.erase(it);
  }
  machines.erase(name);
}

std::vector<const Machine*> Tables::machines_of_shard(std::size_t shard) const {
  std::vector<const Machine*> out;
  const auto it = machines_by_shard_.find(shard);
  if (it == machines_by_shard_.end()) return out;
  for (const std::string& name : it->second) out.push_back(machines.at(name).get());
  return out;
}

void Tables::size_machine(Machine& m) const {
  if (m.sized || m.type.empty()) return;
  if (const MachineType* t = type(m.type)) {
    m.size = t->size;
    m.cache_gb = t->cache_gb;
    m.sized = true;
  }
}

TaskAttempt& Tables::place(Job& job, std::uint32_t index, Machine& m, std::uint64_t attempt,
                           Time now) {
  Task& task = job.tasks[index];
  if (task.state == TaskState::Queued) --job.queued;
  if (task.state == TaskState::Unknown) {
    --job.unknown;
    if (job.team != nullptr) job.team->used -= job.spec().need;
  }
  task.state = TaskState::Placed;
  task.machine = &m;
  ++job.placed;
  ++job.per_zone[m.zone];
  job.machines_used.insert(m.name);
  m.used += job.spec().need;
  TaskAttempt p;
  p.job = &job;
  p.team = job.team;
  p.key = {job.spec().id, index};
  p.need = job.spec().need;
  p.attempt = attempt;
  p.since = now;
  p.held = true;
  if (p.team != nullptr) p.team->used += p.need;
  m.attempts.push_back(std::move(p));
  return m.attempts.back();
}

void Tables::hold_orphan(Job& job, Machine& m, TaskAttempt& orphan) {
  orphan.held = true;
  orphan.orphan_of = &job;
  orphan.need = job.spec().need;
  orphan.team = job.team;
  // A team that the settings no longer name has no limit to count against.
  if (orphan.team != nullptr) orphan.team->used += orphan.need;
  m.used += orphan.need;
  job.orphans.push_back({orphan.key.index, m.zone});
  job.machines_used.insert(m.name);
}

void Tables::unhold(Machine& m, TaskAttempt& p) {
  if (!p.held) return;
  p.held = false;
  m.used -= p.need;
  if (p.team != nullptr) p.team->used -= p.need;
  if (Job* job = std::exchange(p.orphan_of, nullptr); job != nullptr) {
    const auto it = std::find_if(
        job->orphans.begin(), job->orphans.end(),
        [&](const OrphanedAttempt& s) { return s.index == p.key.index && s.zone == m.zone; });
    if (it != job->orphans.end()) job->orphans.erase(it);
  }
  if (p.job == nullptr) return;
  Job& job = *p.job;
  if (p.state == AttemptState::Running || p.state == AttemptState::Saving) --job.running;
  --job.placed;
  if (const auto it = job.per_zone.find(m.zone); it != job.per_zone.end() && --it->second == 0)
    job.per_zone.erase(it);
  Task& task = job.tasks[p.key.index];
  task.machine = nullptr;
  if (task.state == TaskState::Placed) {
    task.state = TaskState::Queued;
    ++job.queued;
    job.next_queued = std::min(job.next_queued, p.key.index);
  }
}

void Tables::erase(Machine& m, std::size_t index) {
  unhold(m, m.attempts[index]);
  m.attempts.erase(m.attempts.begin() + static_cast<std::ptrdiff_t>(index));
}

bool Tables::type_allowed(const JobSpec& s, const std::string& type) const {
  return s.any_type || std::find(s.types.begin(), s.types.end(), type) != s.types.end();
}

bool Tables::suits(const JobSpec& s, const Machine& m) const {
  return (!m.spot || s.spot) && (s.zone.empty() || s.zone == m.zone) && type_allowed(s, m.type);
}

bool Tables::allowed(const Job& job, const Machine& m) const {
  return suits(job.spec(), m) && zone_open(job, m.zone);
}

bool Tables::zone_open(const Job& job, const std::string& zone) {
  const JobSpec& s = job.spec();
  // Tasks whose machine isn't known yet could be in any zone.
  if ((s.one_zone || s.spread) && job.unknown > 0) return false;
  // A job whose tasks are known in two zones gets no place until its tasks are left in only one of
  // them. Delayed heartbeats once made tasks known in two zones, and either zone was then accepted
  // as that of the job.
  if (s.one_zone && !job.only_in(zone)) return false;
  return !s.spread || job.tasks_in(zone) < job.zone_cap();
}

bool Tables::zone_allowed(const Job& job, const std::string& zone) {
  const JobSpec& s = job.spec();
  if (s.one_zone && !job.only_in(zone)) return false;
  return !s.spread || job.tasks_in(zone) <= job.zone_cap();
}

void Tables::mark_done(Job& job, std::uint32_t index) {
  Task& task = job.tasks[index];
  if (!job.record.done.set(index)) return;
  if (task.state == TaskState::Queued) --job.queued;
  if (task.state == TaskState::Unknown) {
    --job.unknown;
    if (job.team != nullptr) job.team->used -= job.spec().need;
  }
  task.state = TaskState::Done;
  if (job.spec().tasks > kInlineBits) job.dirty_pieces.insert(index / kSmallPieceBits);
}

void Tables::unknown_to_queued(Job& job) {
  if (job.unknown == 0) return;
  TeamQuota* t = job.team;
  for (std::uint32_t i = 0; i < job.tasks.size(); ++i)
    if (job.tasks[i].state == TaskState::Unknown) {
      job.tasks[i].state = TaskState::Queued;
      ++job.queued;
      if (t != nullptr) t->used -= job.spec().need;
    }
  job.unknown = 0;
  job.next_queued = 0;
}

}  // namespace sailreel
