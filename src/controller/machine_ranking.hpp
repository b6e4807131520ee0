// Ranks machines in the order in which a scheduling pass would choose them, once for many jobs of
// one kind.
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

/// What a ranking knows of a machine.
template <typename Score>
struct MachineRating {
  /// Less is better; empty: can't be chosen at present.
  std::optional<Score> score;
  /// Whether it has room at all, so that another job or a later pass may choose it.
  bool has_room = false;
};

/// Ranks a pass's machines, identified by index, once for all jobs of a kind. Machines that change
/// are rated again; examining all machines for each job would grow with the square of the fleet, as
/// the work grows with the fleet.
///
/// Ties go to the lower index, so that the choice is the same on every run.
template <typename Score>
class MachineRanking {
 public:
  using Rate = std::function<MachineRating<Score>(std::size_t index)>;
  using ZoneOf = std::function<const std::string&(std::size_t index)>;
  using ZoneOpen = std::function<bool(const std::string& zone)>;
  /// A job's own score of a machine, which is never better than the score of its kind.
  using OwnScore = std::function<Score(std::size_t index, const Score& of_kind)>;

  MachineRanking(std::size_t machines, Rate rate, const ZoneOf& zone_of)
      : rate_(std::move(rate)), ratings_(machines), heaps_of_(machines) {
    for (std::size_t index = 0; index < machines; ++index) {
      heaps_of_[index] = &heaps_[zone_of(index)];
      store(index, rate_(index));
    }
    for (auto& [zone, heap] : heaps_) std::make_heap(heap.begin(), heap.end(), worse);
  }
  MachineRanking(const MachineRanking&) = delete;
  MachineRanking& operator=(const MachineRanking&) = delete;

  /// Rates a machine again.
  void update(std::size_t index) {
    const std::optional<Score> before = ratings_[index].score;
    roomy_ -= ratings_[index].has_room ? 1 : 0;
    const MachineRating<Score> now = rate_(index);
    if (now.score == before) {
      ratings_[index] = now;
      roomy_ += now.has_room ? 1 : 0;
      return;
    }
    store(index, now);
    Heap& heap = *heaps_of_[index];
    if (now.score) std::push_heap(heap.begin(), heap.end(), worse);
  }

  /// True if any machine has room for work of this kind.
  [[nodiscard]] bool any_room() const { return roomy_ > 0; }

  /// The best machine in the zones that are open to a job, by the job's own score; empty if none.
  std::optional<std::size_t> best(const ZoneOpen& zone_open, const OwnScore& own_score) {
    std::optional<Entry> best;
    for (auto& [zone, heap] : heaps_)
      if (zone_open(zone)) improve(best, heap, own_score);
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

  static bool worse(const Entry& a, const Entry& b) { return b < a; }

  void store(std::size_t index, const MachineRating<Score>& rating) {
    ratings_[index] = rating;
    roomy_ += rating.has_room ? 1 : 0;
    if (rating.score) heaps_of_[index]->push_back({*rating.score, index});
  }

  /// Pops entries whose ratings are outdated off the top of the heap.
  void drop_outdated(Heap& heap) {
    while (!heap.empty() && ratings_[heap.front().index].score != heap.front().score) pop(heap);
  }

  static void pop(Heap& heap) {
    std::pop_heap(heap.begin(), heap.end(), worse);
    heap.pop_back();
  }

  /// Replaces `best` if the heap has a better one. Entries that the job scores lower than its kind
  /// are put aside meanwhile.
  void improve(std::optional<Entry>& best, Heap& heap, const OwnScore& own_score) {
    std::vector<Entry> aside;
    for (drop_outdated(heap); !heap.empty(); drop_outdated(heap)) {
      const Entry top = heap.front();
      if (best && !(top < *best)) break;
      const Entry own{own_score(top.index, top.score), top.index};
      if (!best || own < *best) best = own;
      if (!(top.score < own.score)) break;
      aside.push_back(top);
      pop(heap);
    }
    for (const Entry& entry : aside) {
      heap.push_back(entry);
      std::push_heap(heap.begin(), heap.end(), worse);
    }
  }

  Rate rate_;
  std::vector<MachineRating<Score>> ratings_;
  std::map<std::string, Heap> heaps_;  // by zone
  std::vector<Heap*> heaps_of_;        // by machine
  std::size_t roomy_ = 0;
};

/// The rankings of one pass, each created when the first job of its kind needs it. Owned by the
/// controller; refers to machines that it doesn't own.
template <typename Kind, typename Score>
class RankingsByKind {
 public:
  using Rate = std::function<MachineRating<Score>(const Machine&)>;
  using IndexOf = std::optional<std::size_t> Machine::*;

  /// `index_of`: the member in which a machine keeps its index among those of the pass.
  explicit RankingsByKind(IndexOf index_of) : index_of_(index_of) {}

  void clear() {
    entries_.clear();
    machines_.clear();
  }
  /// Called before the first ranking of a pass.
  void add(Machine& m) {
    m.*index_of_ = machines_.size();
    machines_.push_back(&m);
  }
  [[nodiscard]] const std::vector<Machine*>& machines() const { return machines_; }

  /// The ranking of a kind, with all changes of the pass so far; at most `most` are kept.
  MachineRanking<Score>& get(const Kind& kind, std::size_t most,
                             const std::vector<Machine*>& changes, const Rate& rate) {
    Entry& entry = find_or_make(kind, most, changes.size(), rate);
    const Machine* last = nullptr;
    for (; entry.changes_seen < changes.size(); ++entry.changes_seen) {
      const Machine* m = changes[entry.changes_seen];
      // The tasks of a job are often placed on one machine after the other.
      const bool again = std::exchange(last, m) == m;
      const std::optional<std::size_t> index = m->*index_of_;
      if (index && !again) entry.ranking.update(*index);
    }
    return entry.ranking;
  }

 private:
  struct Entry {
    Kind kind;
    MachineRanking<Score> ranking;
    std::size_t changes_seen = 0;
  };

  Entry& find_or_make(const Kind& kind, std::size_t most, std::size_t changes, const Rate& rate) {
    const auto it = std::find_if(entries_.begin(), entries_.end(),
                                 [&](const auto& entry) { return entry->kind == kind; });
    if (it != entries_.end()) return **it;
    // Where each job is a kind of its own, the oldest is the least likely to be used again.
    if (entries_.size() >= most) entries_.erase(entries_.begin());
    const auto rate_by_index = [this, rate](std::size_t index) { return rate(*machines_[index]); };
    const auto zone_of = [this](std::size_t index) -> const std::string& {
      return machines_[index]->zone;
    };
    entries_.push_back(std::unique_ptr<Entry>(
        new Entry{kind, {machines_.size(), rate_by_index, zone_of}, changes}));
    return *entries_.back();
  }

  IndexOf index_of_;
  std::vector<Machine*> machines_;
  std::vector<std::unique_ptr<Entry>> entries_;
};

}  // namespace sailreel
