#include "storage/tables.hpp"

#include <algorithm>
#include <utility>

namespace sailreel {

bool Machine::has_image(const std::string& image) const {
  return std::any_of(images.begin(), images.end(),
                     [&](const CachedImage& cached) { return cached.name == image; });
}

bool Machine::fetching(const std::string& image) const {
  return std::any_of(attempts.begin(), attempts.end(), [&](const TaskAttempt& attempt) {
    return attempt.held && attempt.job != nullptr && attempt.state <= AttemptState::Fetching &&
           attempt.job->spec().image == image;
  });
}

std::size_t Machine::fetches() const {
  std::size_t count = 0;
  for (auto attempt = attempts.begin(); attempt != attempts.end(); ++attempt) {
    const auto waits_for_image = [&](const TaskAttempt& candidate) {
      return candidate.held && candidate.job != nullptr &&
             candidate.state <= AttemptState::Fetching;
    };
    if (!waits_for_image(*attempt) || has_image(attempt->job->spec().image)) continue;
    // Tasks that need the same image share one fetch.
    count += std::none_of(attempts.begin(), attempt, [&](const TaskAttempt& earlier) {
      return waits_for_image(earlier) && earlier.job->spec().image == attempt->job->spec().image;
    });
  }
  return count;
}

bool Machine::has_unsent_starts() const {
  return std::any_of(attempts.begin(), attempts.end(), [](const TaskAttempt& attempt) {
    return attempt.state == AttemptState::Reserved;
  });
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
  for (TaskAttempt& candidate : attempts)
    if (candidate.attempt == attempt && candidate.key.index == key.index &&
        candidate.key.job == key.job)
      return &candidate;
  return nullptr;
}

bool Job::confined_to(const std::string& zone) const {
  return std::all_of(per_zone.begin(), per_zone.end(),
                     [&](const auto& tasks) { return tasks.first == zone; }) &&
         std::all_of(orphans.begin(), orphans.end(),
                     [&](const OrphanedAttempt& orphan) { return orphan.zone == zone; });
}

bool Job::reserves_only_in(const std::string& zone) const {
  return std::all_of(reserved_per_zone.begin(), reserved_per_zone.end(),
                     [&](const auto& tasks) { return tasks.first == zone; });
}

std::uint32_t Job::remaining_in(const std::string& zone) const {
  const auto reserved = reserved_per_zone.find(zone);
  const std::uint32_t counted =
      tasks_in(zone) + (reserved == reserved_per_zone.end() ? 0 : reserved->second);
  return zone_cap() - std::min(zone_cap(), counted);
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

/// Tolerates the rounding errors of sums of decimal fractions, in GPUs and CPUs.
constexpr double kQuotaTolerance = 1e-6;

std::optional<double> effective_limit(double limit, std::optional<double> cap) {
  if (limit <= 0) return {};
  return cap ? std::min(limit, *cap) : limit;
}

}  // namespace

std::optional<double> TeamQuota::cpus_limit() const {
  return effective_limit(limits.cpus_max, cpus_cap);
}

std::optional<double> TeamQuota::gpus_limit() const {
  return effective_limit(limits.gpus_max, gpus_cap);
}

bool TeamQuota::within_cap(const Resources& total) const {
  const auto gpus = gpus_limit(), cpus = cpus_limit();
  return (!gpus || total.gpus <= *gpus + kQuotaTolerance) &&
         (!cpus || total.cpus <= *cpus + kQuotaTolerance);
}

bool TeamQuota::allows(const Resources& more) const {
  Resources total = used;
  total += more;
  return within_cap(total);
}

std::uint32_t TeamQuota::tasks_allowed(const Resources& each, const Resources& counted,
                                       std::uint32_t wanted) const {
  double tasks = wanted;
  if (const auto limit = gpus_limit(); limit && each.gpus > 0)
    tasks = std::min(tasks, (*limit + kQuotaTolerance - used.gpus - counted.gpus) / each.gpus);
  if (const auto limit = cpus_limit(); limit && each.cpus > 0)
    tasks = std::min(tasks, (*limit + kQuotaTolerance - used.cpus - counted.cpus) / each.cpus);
  return static_cast<std::uint32_t>(std::max(0.0, tasks));
}

bool TeamQuota::within_guarantee(const Resources& total) const {
  if (limits.gpus <= 0 && limits.cpus <= 0) return false;
  return (limits.gpus <= 0 || total.gpus <= limits.gpus + kQuotaTolerance) &&
         (limits.cpus <= 0 || total.cpus <= limits.cpus + kQuotaTolerance);
}

double TeamQuota::used_guarantee_fraction() const {
  double fraction = 0;
  if (limits.gpus > 0) fraction = std::max(fraction, used.gpus / limits.gpus);
  if (limits.cpus > 0) fraction = std::max(fraction, used.cpus / limits.cpus);
  if (limits.gpus <= 0 && limits.cpus <= 0) fraction = 1 + used.gpus + used.cpus;
  return fraction;
}

Tables::Tables(const Settings& settings) {
  for (const Team& limits : settings.teams) teams.push_back({limits, {}, {}, {}});
}

void Tables::clear() {
  jobs_by_acceptance.clear();
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
  for (const MachineType& candidate : types)
    if (candidate.name == name) return &candidate;
  return nullptr;
}

Job& Tables::add_job(JobRecord record) {
  auto job = std::make_unique<Job>();
  job->record = std::move(record);
  const std::uint32_t task_count = job->spec().tasks;
  if (job->record.done.size() != task_count) job->record.done = Bitmap(task_count);
  job->tasks.resize(task_count);
  for (std::uint32_t i = 0; i < task_count; ++i)
    if (job->record.done.test(i))
      job->tasks[i].state = TaskState::Done;
    else
      ++job->queued;
  job->acceptance_order = next_order_++;
  job->team = team(job->spec().team);
  const auto [entry, inserted] =
      image_priority.try_emplace(job->spec().image, job->spec().priority);
  if (!inserted) entry->second = std::min(entry->second, job->spec().priority);
  jobs_by_acceptance[job->acceptance_order] = job.get();
  Job& added = *job;
  jobs[added.spec().id] = std::move(job);
  return added;
}

void Tables::remove_job(const std::string& id) {
  const auto it = jobs.find(id);
  if (it == jobs.end()) return;
  jobs_by_acceptance.erase(it->second->acceptance_order);
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

void Tables::set_size_from_type(Machine& machine) const {
  if (machine.size_known || machine.type.empty()) return;
  if (const MachineType* machine_type = type(machine.type)) {
    machine.size = machine_type->size;
    machine.cache_gb = machine_type->cache_gb;
    machine.size_known = true;
  }
}

TaskAttempt& Tables::place(Job& job, std::uint32_t index, Machine& machine, std::uint64_t attempt,
                           Time now) {
  Task& task = job.tasks[index];
  if (task.state == TaskState::Queued) --job.queued;
  if (task.state == TaskState::Unknown) {
    --job.unknown;
    if (job.team != nullptr) job.team->used -= job.spec().need;
  }
  task.state = TaskState::Placed;
  task.machine = &machine;
  ++job.placed;
  ++job.per_zone[machine.zone];
  job.machines_used.insert(machine.name);
  machine.used += job.spec().need;
  TaskAttempt new_attempt;
  new_attempt.job = &job;
  new_attempt.team = job.team;
  new_attempt.key = {job.spec().id, index};
  new_attempt.need = job.spec().need;
  new_attempt.attempt = attempt;
  new_attempt.since = now;
  new_attempt.held = true;
  if (new_attempt.team != nullptr) new_attempt.team->used += new_attempt.need;
  machine.attempts.push_back(std::move(new_attempt));
  return machine.attempts.back();
}

void Tables::hold_orphan(Job& job, Machine& machine, TaskAttempt& orphan) {
  orphan.held = true;
  orphan.orphan_of = &job;
  orphan.need = job.spec().need;
  orphan.team = job.team;
  // `team` is null if the settings no longer name the team. It then has no limit, and its usage is
  // not counted.
  if (orphan.team != nullptr) orphan.team->used += orphan.need;
  machine.used += orphan.need;
  job.orphans.push_back({orphan.key.index, machine.zone});
  job.machines_used.insert(machine.name);
}

void Tables::release_attempt(Machine& machine, TaskAttempt& attempt) {
  if (!attempt.held) return;
  attempt.held = false;
  machine.used -= attempt.need;
  if (attempt.team != nullptr) attempt.team->used -= attempt.need;
  if (Job* job = std::exchange(attempt.orphan_of, nullptr); job != nullptr) {
    const auto it =
        std::find_if(job->orphans.begin(), job->orphans.end(), [&](const OrphanedAttempt& orphan) {
          return orphan.index == attempt.key.index && orphan.zone == machine.zone;
        });
    if (it != job->orphans.end()) job->orphans.erase(it);
  }
  if (attempt.job == nullptr) return;
  Job& job = *attempt.job;
  if (attempt.state == AttemptState::Running || attempt.state == AttemptState::Saving)
    --job.running;
  --job.placed;
  if (const auto it = job.per_zone.find(machine.zone);
      it != job.per_zone.end() && --it->second == 0)
    job.per_zone.erase(it);
  Task& task = job.tasks[attempt.key.index];
  task.machine = nullptr;
  if (task.state == TaskState::Placed) {
    task.state = TaskState::Queued;
    ++job.queued;
    job.next_queued = std::min(job.next_queued, attempt.key.index);
  }
}

void Tables::remove_attempt(Machine& machine, std::size_t index) {
  release_attempt(machine, machine.attempts[index]);
  machine.attempts.erase(machine.attempts.begin() + static_cast<std::ptrdiff_t>(index));
}

bool Tables::type_allowed(const JobSpec& spec, const std::string& type) const {
  return spec.any_type || std::find(spec.types.begin(), spec.types.end(), type) != spec.types.end();
}

bool Tables::meets_constraints(const JobSpec& spec, const Machine& machine) const {
  return (!machine.spot || spec.spot) && (spec.zone.empty() || spec.zone == machine.zone) &&
         type_allowed(spec, machine.type);
}

bool Tables::allowed(const Job& job, const Machine& machine) const {
  return meets_constraints(job.spec(), machine) && zone_accepts_task(job, machine.zone);
}

bool Tables::zone_accepts_task(const Job& job, const std::string& zone) {
  const JobSpec& spec = job.spec();
  // Tasks whose machine isn't known yet could be in any zone.
  if ((spec.one_zone || spec.spread) && job.unknown > 0) return false;
  // Delayed heartbeats can make tasks of a one-zone job known in two zones. No zone accepts further
  // tasks of the job until all its known tasks are in the same zone; otherwise tasks could be
  // placed in either zone.
  if (spec.one_zone && !(job.confined_to(zone) && job.reserves_only_in(zone))) return false;
  return !spec.spread || job.remaining_in(zone) > 0;
}

bool Tables::zone_allowed(const Job& job, const std::string& zone) {
  const JobSpec& spec = job.spec();
  if (spec.one_zone && !job.confined_to(zone)) return false;
  return !spec.spread || job.tasks_in(zone) <= job.zone_cap();
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

void Tables::queue_unknown_tasks(Job& job) {
  if (job.unknown == 0) return;
  TeamQuota* team = job.team;
  for (std::uint32_t i = 0; i < job.tasks.size(); ++i)
    if (job.tasks[i].state == TaskState::Unknown) {
      job.tasks[i].state = TaskState::Queued;
      ++job.queued;
      if (team != nullptr) team->used -= job.spec().need;
    }
  job.unknown = 0;
  job.next_queued = 0;
}

}  // namespace sailreel
