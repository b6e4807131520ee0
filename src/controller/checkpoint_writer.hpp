// Writes a leader's changes to the checkpoint in the key-value store. One compare-and-swap
// transaction is in flight at a time; all that changes meanwhile goes into the next (group commit).
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "controller/actions.hpp"
#include "controller/outbox.hpp"
#include "controller/peer_table.hpp"
#include "controller/pending_scale_out.hpp"
#include "controller/regional_quotas.hpp"
#include "protocol/settings.hpp"
#include "storage/checkpoint.hpp"
#include "storage/compare_and_swap_builder.hpp"
#include "storage/job_shards.hpp"
#include "storage/tables.hpp"

namespace sailreel {

/// What the election says of this controller's leadership at the present moment.
struct LeaderTerm {
  /// Raised when leading begins or ends. A response to a call of an older term is dropped.
  std::uint64_t term = 0;
  /// The fencing token, and the version of its key, on which each commit is conditional.
  std::uint64_t epoch = 0, epoch_version = 0;
  /// The checkpoint is loaded and leadership not given up; the lease may have expired all the same.
  bool leads = false;
  bool holds_valid_lease = false;
};

/// What the outcome of a commit means outside the checkpoint. Called within the step that takes the
/// key-value store's response in, for one commit in the order of the functions here.
class CheckpointListener {
 public:
  CheckpointListener() = default;
  CheckpointListener(const CheckpointListener&) = delete;
  CheckpointListener& operator=(const CheckpointListener&) = delete;

  [[nodiscard]] virtual LeaderTerm leader_term() const = 0;

  /// What the regional quotas last gave to be written is committed.
  virtual void shares_committed() = 0;
  /// A machine or a job is in the checkpoint for the first time, and may be scheduled from now on.
  virtual void scheduling_possible() = 0;
  /// The cloud may be asked for these.
  virtual void scale_outs_committed(const std::vector<std::string>& names) = 0;
  /// Someone waited for what is now committed of the job.
  virtual void respond_with_committed_job(const RequestSource& source, int status,
                                          const std::string& id) = 0;
  /// The job's last record is committed; it leaves the tables.
  virtual void job_over(Job& job) = 0;

  /// The store refuses the commit's size. Whether an earlier copy of it was carried out isn't
  /// known, so the lease is to be given back: whoever leads next reads that.
  virtual void commit_rejected() = 0;
  /// The conditions of a commit don't hold any more: another leader has written the checkpoint.
  virtual void checkpoint_overwritten() = 0;

 protected:
  ~CheckpointListener() = default;
};

/// Owns what this controller knows of the checkpoint while it leads: the manifest's version, the
/// recent records in it, what has changed since, the commit in flight, and who waits for a commit.
///
/// Nothing depends on a change before it is committed: users get their response, workers may forget
/// finished tasks, and the cloud is asked for instances only afterwards. Each commit is a
/// compare-and-swap on the epoch's key and the manifest's, so that a former leader's fails.
///
/// Belongs to Controller, which calls `commit_if_due` at the end of each step. Times are ms of the
/// controller's clock.
class CheckpointWriter {
 public:
  /// What the writer reads or changes but doesn't own; all of it has to outlive the writer.
  struct Environment {
    const Settings& settings;
    const Clock& clock;
    Outbox& outbox;
    Tables& tables;
    RegionalQuotas& quotas;
    const PeerTable& peers;
    const PendingScaleOuts& scale_outs;
    CheckpointListener& listener;
  };
  explicit CheckpointWriter(const Environment& environment);

  CheckpointWriter(const CheckpointWriter&) = delete;
  CheckpointWriter& operator=(const CheckpointWriter&) = delete;

  /// Begins with what a new leader has read. To be called before the jobs are moved out of it. The
  /// next commit is due at once, so that the manifest carries the new epoch before anything depends
  /// on it.
  void load(const Snapshot& image);
  /// Leadership has ended: rejects whoever waits, and forgets all changes and the commit in flight.
  /// How often commits were rejected is kept: the limits of the store hold for the next term too.
  void reset();

  void mark_changed(Job& job);
  /// The job is removed from the tables; a change of it isn't written any more.
  void forget(const Job& job) { std::erase(changed_jobs_, &job); }
  /// The machine joins or leaves the list of recorded machines, or has a new address.
  void mark_machine_changed(const std::string& machine);
  /// The images that the machine holds have changed: a hint for a later leader, written from what
  /// the limit on writes leaves over.
  void mark_images_changed(const std::string& machine);
  /// A scale-out request was added to or removed from the pending ones.
  void mark_scale_outs_changed() { scale_outs_changed_ = true; }
  /// The worker may forget the task once its end is committed.
  void finished_on(const std::string& machine, const Job& job, std::uint32_t index);

  /// Responds with the job once all that is known of it now is committed.
  void respond_after_commit(const Job& job, const RequestSource& source, int status);
  /// Sends the next commit if there is something to write and the write budget allows it; repeats
  /// one that wasn't answered.
  void commit_if_due();

  /// The commit in flight wasn't answered: it may or may not have been carried out.
  [[nodiscard]] bool commit_in_doubt() const { return commit_.retries > 0; }
  /// More responses wait for commits than there are sockets at all controllers.
  [[nodiscard]] bool too_many_waiting() const;
  /// How many requests can be open: each who waits has a socket at one of the controllers.
  [[nodiscard]] std::size_t most_open_requests() const;
  /// Every controller understands gangs, and that is committed; a gang may be accepted.
  [[nodiscard]] bool gangs_enabled() const { return gangs_enabled_; }
  /// Sequence number of the manifest as last committed.
  [[nodiscard]] std::uint64_t manifest_seq() const { return manifest_seq_; }
  /// That part of the largest value in bytes which may be written: the settings' limit, halved for
  /// each commit that the store rejected all the same.
  [[nodiscard]] std::size_t value_limit(double fill) const;
  /// Whether the manifest has room for one more pending scale-out.
  [[nodiscard]] bool scale_out_fits(const ScaleOutRequest& scale_out) const;
  /// How many machines were looked at: a measure of work that is the same on every run.
  [[nodiscard]] std::uint64_t examined() const { return examined_; }

 private:
  struct PendingResponse {
    RequestSource source;
    int status = 200;
    std::string id;
  };
  struct FinishedTask {
    std::string job;
    std::uint32_t index = 0;
    std::string machine;  // that reported it
  };
  struct CheckpointCommit {
    KvRequest call;
    std::uint64_t seq = 0, retries = 0;
    std::map<std::string, std::string> recent_records;
    struct Change {
      std::string id;
      Phase phase = Phase::Active;
      bool final = false;
      std::uint32_t started = 0;
    };
    std::vector<Change> jobs;
    std::vector<PendingResponse> pending_responses;
    std::vector<std::string> machines_added, scale_outs;
    std::vector<FinishedTask> finished_tasks;
    bool flush = false;     // copies recent records to shards, and nothing else
    bool shares = false;    // has writes of the shares
    bool features = false;  // writes down that all controllers understand gangs
  };

  /// Shares of the burst of writes that are left to what is more urgent. A commit that no user
  /// waits for leaves the larger one; beside its manifest, a commit that users wait for leaves the
  /// smaller one to the next of its kind. Commits that overdrew the budget once made submissions
  /// wait for 0.9 s.
  static constexpr double kBackgroundReserve = 0.5, kUrgentReserve = 0.25;
  /// Images are written as long as this share of the burst is left.
  static constexpr double kImageHintReserve = 0.75;
  /// A commit that no user waits for has room for at least so many writes beside its manifest: with
  /// none, it would write its manifest again and again, and get nowhere.
  static constexpr std::size_t kLeastOperations = 2;

  // checkpoint_writer.cpp: when a commit is sent, and what its outcome means
  [[nodiscard]] Time heartbeat_interval() const {
    return ms(settings_.workers.heartbeat_interval_s);
  }
  [[nodiscard]] bool commit_needed() const;
  [[nodiscard]] bool someone_waits() const;
  [[nodiscard]] bool image_hints_due();
  [[nodiscard]] bool leads_in(std::uint64_t term) const;
  void load_shards(const Snapshot& image);
  void resolve_uncertain_commit();
  void handle_commit_response(const KvResponse& response);
  void commit_not_answered(int status);
  void look_for_commit();
  void commit_rejected();
  void commit_succeeded(std::uint64_t revision);
  void machines_committed(const std::vector<std::string>& names);
  void finished_tasks_committed(const std::vector<FinishedTask>& finished);
  std::vector<Job*> jobs_committed(const std::vector<CheckpointCommit::Change>& changes);

  // checkpoint_transaction.cpp: what goes into a commit, within the limits of the store
  [[nodiscard]] std::size_t operations_allowed(double reserve_share);
  [[nodiscard]] std::size_t operations_limit() const;
  void send_commit();
  void send_flush();
  void log_commit();
  [[nodiscard]] std::size_t manifest_bytes_of(
      const std::map<std::string, std::string>& recent_records) const;
  [[nodiscard]] std::size_t scale_out_bytes() const;
  std::size_t add_scale_outs(Manifest& manifest);
  void add_features(CompareAndSwapBuilder& transaction);
  void add_shares(CompareAndSwapBuilder& transaction);
  void add_machine_shards(CompareAndSwapBuilder& transaction);
  bool add_machine_shard(CompareAndSwapBuilder& transaction, std::size_t shard);
  std::map<std::string, Job*> add_bitmaps(CompareAndSwapBuilder& transaction,
                                          std::vector<Job*>& postponed);
  [[nodiscard]] bool small_pieces() const;
  bool add_bitmap(CompareAndSwapBuilder& transaction, Job& job);
  std::size_t flush_recent_records(CompareAndSwapBuilder& transaction, std::size_t wanted);
  bool put_shard(CompareAndSwapBuilder& transaction, std::size_t shard);
  std::size_t reserve_for(const std::string& id, const std::string& text);
  std::string text_for_shard(const std::string& id);
  void postpone_excess(std::map<std::string, Job*>& changed, std::vector<Job*>& postponed,
                       std::size_t manifest_bytes);
  void move_pending_responses_to_commit();

  const Settings& settings_;
  const Clock& clock_;
  Outbox& outbox_;
  Tables& tables_;
  RegionalQuotas& quotas_;
  const PeerTable& peers_;
  const PendingScaleOuts& scale_outs_;
  CheckpointListener& listener_;

  /// The manifest as last committed.
  std::uint64_t manifest_seq_ = 0, manifest_version_ = 0;
  std::map<std::string, std::string> recent_records_;  // in the manifest, by their jobs
  bool features_written_ = false, gangs_enabled_ = false;
  /// How many commits the store found too large.
  unsigned rejected_commits_ = 0;
  JobShards shards_;

  std::vector<Job*> changed_jobs_;
  /// Shards whose list of machines differs from the checkpoint's.
  std::set<std::size_t> changed_machine_shards_;
  /// Shards in which only the images that machines hold differ.
  std::set<std::size_t> stale_image_shards_;
  bool scale_outs_changed_ = false;
  std::vector<PendingResponse> pending_responses_;
  std::vector<FinishedTask> finished_tasks_;

  CheckpointCommit commit_;  // in flight
  bool commit_in_flight_ = false;
  Time commit_retry_at_ = kNever, last_commit_at_ = 0;
  std::uint64_t examined_ = 0;
};

}  // namespace sailreel
