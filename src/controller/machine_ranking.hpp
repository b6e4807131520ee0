// Ranks machines in the order in which a scheduling pass chooses them. All jobs of one kind share a
// ranking.
#pragma once

#include <algorithm>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "storage/tables.hpp"

namespace sailreel {

/// The rating of a machine for one kind of job.
template <typename Score>
struct MachineRating {
  /// Lower is better. Empty if the machine can't be chosen at present.
  std::optional<Score> score;
  /// True if the machine has room, so that another job or a later pass may choose it, even if it
  /// can't be chosen at present.
  bool has_room = false;
};

/// Ranks the machines of a scheduling pass, identified by index, for all jobs of one kind. Only
/// machines that change are rated again. Examining all machines for each job would take time
/// quadratic in the size of the fleet, because the number of jobs grows with the fleet.
///
/// Of machines with equal scores the one with the lowest index is chosen, so that the choice is the
/// same on every run.
template <typename Score>
class MachineRanking {
 public:
  using Rate = std::function<MachineRating<Score>(std::size_t index)>;
  using ZoneOf = std::function<const std::string&(std::size_t index)>;
  using ZoneOpen = std::function<bool(const std::string& zone)>;
  /// Returns a job's own score of a machine. It must not be lower (better) than `kind_score`, the
  /// score for all jobs of the kind.
  using OwnScore = std::function<Score(std::size_t index, const Score& kind_score)>;

  MachineRanking(std::size_t machines, Rate rate, const ZoneOf& zone_of)
      : rate_(std::move(rate)), ratings_(machines), heap_of_machine_(machines) {
    for (std::size_t index = 0; index < machines; ++index) {
      heap_of_machine_[index] = &heaps_by_zone_[zone_of(index)];
      store(index, rate_(index));
    }
    for (auto& [zone, heap] : heaps_by_zone_) std::make_heap(heap.begin(), heap.end(), worse);
  }
  MachineRanking(const MachineRanking&) = delete;
  MachineRanking& operator=(const MachineRanking&) = delete;

  /// Rates a machine again after it has changed.
  void update(std::size_t index) {
    const std::optional<Score> old_score = ratings_[index].score;
    machines_with_room_ -= ratings_[index].has_room ? 1 : 0;
    const MachineRating<Score> rating = rate_(index);
    if (rating.score == old_score) {
      ratings_[index] = rating;
      machines_with_room_ += rating.has_room ? 1 : 0;
      return;
    }
    store(index, rating);
    Heap& heap = *heap_of_machine_[index];
    if (rating.score) std::push_heap(heap.begin(), heap.end(), worse);
  }

  /// True if any machine has room for a task of this kind.
  [[nodiscard]] bool any_room() const { return machines_with_room_ > 0; }

  /// Returns the index of the machine with the best own score for a job, in the zones that are open
  /// to the job; empty if no machine can be chosen.
  std::optional<std::size_t> best(const ZoneOpen& zone_open, const OwnScore& own_score) {
    std::optional<Entry> best;
    for (auto& [zone, heap] : heaps_by_zone_)
      if (zone_open(zone)) update_best(best, heap, own_score);
    if (!best) return {};
    return best->index;
  }

 private:
  struct Entry {
    Score score;
    std::size_t index = 0;
    bool operator<(const Entry& other) const {
      return score < other.score || (!(other.score < score) && index < other.index);
    }
  };
  using Heap = std::vector<Entry>;

  /// The comparison for heaps that have the best entry at the front.
  static bool worse(const Entry& a, const Entry& b) { return b < a; }

  /// Stores a rating and appends its entry; the caller restores the heap order.
  void store(std::size_t index, const MachineRating<Score>& rating) {
    ratings_[index] = rating;
    machines_with_room_ += rating.has_room ? 1 : 0;
    if (rating.score) heap_of_machine_[index]->push_back({*rating.score, index});
  }

  /// Removes entries from the front of the heap until the front one agrees with its machine's
  /// current rating.
  void drop_outdated(Heap& heap) {
    while (!heap.empty() && ratings_[heap.front().index].score != heap.front().score) pop(heap);
  }

  static void pop(Heap& heap) {
    std::pop_heap(heap.begin(), heap.end(), worse);
    heap.pop_back();
  }

  /// Replaces `best` if the heap has a better entry by the job's own score. Entries whose own score
  /// is worse than the score of their kind are removed during the search and put back afterwards.
  void update_best(std::optional<Entry>& best, Heap& heap, const OwnScore& own_score) {
    std::vector<Entry> set_aside;
    for (drop_outdated(heap); !heap.empty(); drop_outdated(heap)) {
      const Entry top = heap.front();
      if (best && !(top < *best)) break;
      const Entry own_entry{own_score(top.index, top.score), top.index};
      if (!best || own_entry < *best) best = own_entry;
      if (!(top.score < own_entry.score)) break;
      set_aside.push_back(top);
      pop(heap);
    }
    for (const Entry& entry : set_aside) {
      heap.push_back(entry);
      std::push_heap(heap.begin(), heap.end(), worse);
    }
  }

  Rate rate_;
  std::vector<MachineRating<Score>> ratings_;
  std::map<std::string, Heap> heaps_by_zone_;
  std::vector<Heap*> heap_of_machine_;  // by machine index
  std::size_t machines_with_room_ = 0;
};

/// The rankings of one scheduling pass, each created when the first job of its kind needs it. The
/// controller owns this object. The machines are not owned and must stay valid until `clear`.
template <typename Kind, typename Score>
class RankingsByKind {
 public:
  using Rate = std::function<MachineRating<Score>(const Machine&)>;
  using IndexOf = std::optional<std::size_t> Machine::*;

  /// `index_of`: the member of Machine that holds the machine's index in `machines()`.
  explicit RankingsByKind(IndexOf index_of) : index_of_(index_of) {}

  /// Removes all rankings and machines.
  void clear() {
    entries_.clear();
    machines_.clear();
  }
  /// Adds a machine to the pass. All machines are added before the first call of `get`.
  void add(Machine& machine) {
    machine.*index_of_ = machines_.size();
    machines_.push_back(&machine);
  }
  [[nodiscard]] const std::vector<Machine*>& machines() const { return machines_; }

  /// Returns the ranking for a kind, updated for all machines in `changes`, a list that only grows
  /// during a pass. At most `max_rankings` rankings are kept, so the reference is valid until the
  /// next call.
  MachineRanking<Score>& get(const Kind& kind, std::size_t max_rankings,
                             const std::vector<Machine*>& changes, const Rate& rate) {
    Entry& entry = find_or_create(kind, max_rankings, changes.size(), rate);
    const Machine* last_updated = nullptr;
    for (; entry.changes_seen < changes.size(); ++entry.changes_seen) {
      const Machine* machine = changes[entry.changes_seen];
      // Consecutive changes are often to the same machine, as several tasks of a job are placed on
      // it; these need only one update.
      const bool repeated = std::exchange(last_updated, machine) == machine;
      const std::optional<std::size_t> index = machine->*index_of_;
      if (index && !repeated) entry.ranking.update(*index);
    }
    return entry.ranking;
  }

 private:
  struct Entry {
    Kind kind;
    MachineRanking<Score> ranking;
    std::size_t changes_seen = 0;
  };

  Entry& find_or_create(const Kind& kind, std::size_t max_rankings, std::size_t changes_so_far,
                        const Rate& rate) {
    const auto it = std::find_if(entries_.begin(), entries_.end(),
                                 [&](const auto& entry) { return entry->kind == kind; });
    if (it != entries_.end()) return **it;
    // If each job is of a different kind, the oldest ranking is the least likely to be used again.
    if (entries_.size() >= max_rankings) entries_.erase(entries_.begin());
    const auto rate_by_index = [this, rate](std::size_t index) { return rate(*machines_[index]); };
    const auto zone_of = [this](std::size_t index) -> const std::string& {
      return machines_[index]->zone;
    };
    entries_.push_back(std::unique_ptr<Entry>(
        new Entry{kind, {machines_.size(), rate_by_index, zone_of}, changes_so_far}));
    return *entries_.back();
  }

  IndexOf index_of_;
  std::vector<Machine*> machines_;
  std::vector<std::unique_ptr<Entry>> entries_;
};

}  // namespace sailreel
