// Writes a leader's changes to the checkpoint in the key-value store. One compare-and-swap
// transaction is in flight at a time; changes made meanwhile go into the next one (group commit).
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

/// This controller's leadership at the present moment, as the election reports it.
struct LeaderTerm {
  /// Incremented by each campaign and each step-down. The response to a call of an older term is
  /// dropped.
  std::uint64_t term = 0;
  /// The fencing token, and the version of its key, on which each commit is conditional.
  std::uint64_t epoch = 0, epoch_version = 0;
  /// The checkpoint is loaded and the controller hasn't stepped down. Its lease may have expired.
  bool leads = false;
  bool holds_valid_lease = false;
};

/// Applies the outcome of a commit outside of the checkpoint. The functions are called within the
/// step that receives the key-value store's response. For one commit they are called in the order
/// of their declarations, except that `scheduling_possible` is called for each new machine before
/// and for each new job after `scale_outs_committed`.
class CheckpointListener {
 public:
  CheckpointListener() = default;
  CheckpointListener(const CheckpointListener&) = delete;
  CheckpointListener& operator=(const CheckpointListener&) = delete;

  [[nodiscard]] virtual LeaderTerm leader_term() const = 0;

  /// The writes that the regional quotas last returned are committed.
  virtual void shares_committed() = 0;
  /// A machine or a job is in the checkpoint for the first time and may be scheduled from now on.
  virtual void scheduling_possible() = 0;
  /// These scale-out requests are committed and may be sent to the cloud.
  virtual void scale_outs_committed(const std::vector<std::string>& names) = 0;
  /// The state of the job for which the request waited is committed; the request gets its response.
  virtual void respond_with_committed_job(const RequestSource& source, int status,
                                          const std::string& id) = 0;
  /// The job's last record is committed; the job has to be removed from the tables.
  virtual void job_finished(Job& job) = 0;

  /// The store rejects the commit because of its size. It is unknown whether an earlier copy of the
  /// commit was carried out, so the lease has to be given back: the next leader reads the
  /// checkpoint, and with it the outcome.
  virtual void commit_rejected() = 0;
  /// The conditions of a commit no longer hold: another leader has written the checkpoint.
  virtual void checkpoint_overwritten() = 0;

 protected:
  ~CheckpointListener() = default;
};

/// Owns a leader's view of the checkpoint: the manifest's version and recent records, the changes
/// since, the commit in flight, and the requests that wait for a commit.
///
/// Nothing depends on a change before it is committed: only then do users get their response, may
/// workers forget finished tasks, and is the cloud asked for instances. Each commit is a
/// compare-and-swap on the keys of the epoch and the manifest, so that a former leader's commit
/// fails.
///
/// Owned by Controller, which calls `commit_if_due` at the end of each step. Times are in ms on the
/// controller's clock.
class CheckpointWriter {
 public:
  /// The objects that the writer reads or changes but doesn't own. They must outlive the writer.
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

  /// Starts from the checkpoint that a new leader has read. Must be called before the jobs are
  /// moved out of `checkpoint`. The next commit is due at once, so that the manifest contains the
  /// new epoch before anything depends on it.
  void load(const Snapshot& checkpoint);
  /// Called when leadership has ended. Rejects all waiting requests, and discards all changes and
  /// the commit in flight. Keeps the count of rejected commits, because the limits of the store
  /// hold for the next term too.
  void reset();

  /// The job's record differs from the checkpoint; the next commit includes it.
  void mark_changed(Job& job);
  /// The job is removed from the tables; its changes are no longer written.
  void forget(const Job& job) { std::erase(changed_jobs_, &job); }
  /// The machine joins or leaves the list of recorded machines, or has a new address.
  void mark_machine_changed(const std::string& machine);
  /// The set of images that the machine holds has changed. The images are a hint for a later leader
  /// and are written only while enough of the write budget is left.
  void mark_images_changed(const std::string& machine);
  /// A pending scale-out request was added or removed.
  void mark_scale_outs_changed() { scale_outs_changed_ = true; }
  /// The task has finished on the machine. Once this is committed, the worker may forget the task.
  void mark_task_finished(const std::string& machine, const Job& job, std::uint32_t index);

  /// Responds with the job once its present state is committed.
  void respond_after_commit(const Job& job, const RequestSource& source, int status);
  /// Sends the next commit if there are changes and the write budget allows it, or repeats a commit
  /// that wasn't answered.
  void commit_if_due();

  /// Whether the commit in flight wasn't answered, so that it may or may not have been carried out.
  [[nodiscard]] bool commit_outcome_unknown() const { return commit_.retries > 0; }
  /// Whether more responses wait for commits than all controllers together have sockets.
  [[nodiscard]] bool too_many_pending_responses() const;
  /// The largest possible number of open requests: each of them has a socket at one of the
  /// controllers.
  [[nodiscard]] std::size_t max_open_requests() const;
  /// Whether gangs may be accepted: it is committed that every controller understands them.
  [[nodiscard]] bool gangs_enabled() const { return gangs_enabled_; }
  /// Sequence number of the last committed manifest.
  [[nodiscard]] std::uint64_t manifest_seq() const { return manifest_seq_; }
  /// The share `fill` of the largest value, in bytes, that may be written. The largest value is the
  /// limit of the settings, halved for each commit that the store has rejected nevertheless.
  [[nodiscard]] std::size_t max_value_bytes(double fill) const;
  /// Whether the manifest has room for one more pending scale-out.
  [[nodiscard]] bool scale_out_fits(const ScaleOutRequest& scale_out) const;
  /// The number of machines examined so far: a measure of work that is the same on every run.
  [[nodiscard]] std::uint64_t machines_examined() const { return examined_; }

 private:
  /// A request that gets its response after a commit.
  struct PendingResponse {
    RequestSource source;
    int status = 200;
    std::string id;
  };
  struct FinishedTask {
    std::string job;
    std::uint32_t index = 0;
    std::string machine;  // the machine that reported the end of the task
  };
  /// A commit, and what becomes true once it has succeeded.
  struct CheckpointCommit {
    KvRequest request;
    std::uint64_t seq = 0, retries = 0;
    std::map<std::string, std::string> recent_records;
    /// A job whose record is part of the commit.
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
    bool is_flush = false;      // only copies recent records to their shards
    bool has_shares = false;    // contains writes of the regional quotas' shares
    bool has_features = false;  // records that all controllers understand gangs
  };

  /// Shares of the write burst that a commit leaves unspent for more urgent writes. A commit that
  /// no user waits for leaves the larger share. A commit that users wait for leaves the smaller one
  /// to the next such commit, but always writes its manifest. When commits overdrew the budget,
  /// submissions waited for 0.9 s.
  static constexpr double kBackgroundReserveShare = 0.5, kUrgentReserveShare = 0.25;
  /// Changed images are written only as long as this share of the write burst is left.
  static constexpr double kImageHintReserveShare = 0.75;
  /// A commit that no user waits for has room for at least this many writes beside its manifest.
  /// Without any, it would write its manifest repeatedly and make no progress.
  static constexpr std::size_t kMinWritesBesideManifest = 2;

  // checkpoint_writer.cpp: decides when a commit is sent, and processes its outcome
  [[nodiscard]] Time heartbeat_interval() const {
    return ms(settings_.workers.heartbeat_interval_s);
  }
  [[nodiscard]] bool commit_needed() const;
  [[nodiscard]] bool commit_is_urgent() const;
  [[nodiscard]] bool image_hints_due();
  [[nodiscard]] bool is_leader_in_term(std::uint64_t term) const;
  void load_shards(const Snapshot& checkpoint);
  void send_commit_in_flight();
  void handle_commit_response(const KvResponse& response);
  void handle_unanswered_commit(int status);
  void check_commit_outcome();
  void handle_rejected_commit();
  void handle_successful_commit(std::uint64_t revision);
  void mark_machines_committed(const std::vector<std::string>& names);
  void mark_finished_tasks_committed(const std::vector<FinishedTask>& finished);
  std::vector<Job*> mark_jobs_committed(const std::vector<CheckpointCommit::Change>& changes);

  // checkpoint_transaction.cpp: chooses the contents of a commit, within the limits of the store
  [[nodiscard]] std::size_t operations_within_budget(double reserve_share);
  [[nodiscard]] std::size_t operations_limit() const;
  void start_commit();
  void start_flush();
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
  [[nodiscard]] bool use_small_pieces() const;
  bool add_bitmap(CompareAndSwapBuilder& transaction, Job& job);
  std::size_t flush_recent_records(CompareAndSwapBuilder& transaction, std::size_t wanted_bytes);
  bool put_shard(CompareAndSwapBuilder& transaction, std::size_t shard);
  std::size_t reserve_bytes_for(const std::string& id, const std::string& text);
  std::string record_text_for_shard(const std::string& id);
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

  /// Sequence number and version of the last committed manifest.
  std::uint64_t manifest_seq_ = 0, manifest_version_ = 0;
  std::map<std::string, std::string> recent_records_;  // the manifest's records, by job id
  bool features_written_ = false, gangs_enabled_ = false;
  /// The number of commits that the store has rejected as too large, at most
  /// `kMaxCountedRejections`.
  unsigned rejected_commits_ = 0;
  JobShards shards_;

  std::vector<Job*> changed_jobs_;
  /// Machine shards whose list of machines differs from the checkpoint's.
  std::set<std::size_t> changed_machine_shards_;
  /// Machine shards in which only the images that machines hold differ from the checkpoint's.
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
