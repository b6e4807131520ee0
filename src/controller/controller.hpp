// The controller as a deterministic state machine: each step takes one input and returns the
// messages, storage writes and responses to carry out. It performs no I/O and reads no clock; its
// random numbers are determined by the constructor's seed.
#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "controller/actions.hpp"
#include "controller/checkpoint_writer.hpp"
#include "controller/event_loop_lag.hpp"
#include "controller/gang.hpp"
#include "controller/leader_election.hpp"
#include "controller/machine_ranking.hpp"
#include "controller/outbox.hpp"
#include "controller/peer_table.hpp"
#include "controller/pending_scale_out.hpp"
#include "controller/pool_demand.hpp"
#include "controller/refusal_log.hpp"
#include "controller/regional_quotas.hpp"
#include "protocol/messages.hpp"
#include "protocol/peer_frames.hpp"
#include "protocol/settings.hpp"
#include "protocol/user_codec.hpp"
#include "storage/checkpoint.hpp"
#include "storage/tables.hpp"

namespace sailreel {

/// Schedules jobs on machines while it leads; as a follower, forwards requests to the leader,
/// answers queries from the checkpoint and keeps workers' tasks alive. Times are in ms unless
/// stated otherwise.
class Controller final : private LeaderElection::Listener, private CheckpointListener {
 public:
  Controller(Settings settings, Options options, std::uint64_t seed);

  Controller(const Controller&) = delete;
  Controller& operator=(const Controller&) = delete;

  /// Handles one input and returns the actions that the caller has to carry out, in order. The
  /// times in `clock` are in ms.
  std::vector<Action> step(Clock clock, Input input);

  /// Whether the load balancer should send users to this controller.
  [[nodiscard]] bool healthy(Time now) const;
  /// Whether this controller is the leader; its lease may have expired nevertheless.
  [[nodiscard]] bool leading() const { return election_.is_leader(); }
  [[nodiscard]] std::uint64_t epoch() const { return election_.epoch(); }
  [[nodiscard]] bool holds_valid_lease(Time now) const { return election_.holds_valid_lease(now); }
  [[nodiscard]] const Tables& tables() const { return tables_; }
  [[nodiscard]] const RegionalQuotas& quotas() const { return quotas_; }
  /// Whether a new leader still waits for machines that may run tasks started under an earlier
  /// leader.
  [[nodiscard]] bool reconciling() const { return reconciling_; }
  /// The number of jobs and machines examined so far, without the periodic scans of the whole fleet
  /// (a fixed number per heartbeat interval). Unlike elapsed time, this measure of work is the same
  /// on every run.
  [[nodiscard]] std::uint64_t examined() const {
    return examined_ + checkpoint_.machines_examined();
  }

 private:
  // controller.cpp
  void handle(const Tick&) { tick(); }
  void handle(const UserRequest& input) { handle_user_request(input); }
  void handle(const HeartbeatReceived& input) { handle_heartbeat(input); }
  void handle(const KvResponseReceived& input) { outbox_.handle(input); }
  void handle(const CloudResponseReceived& input) { outbox_.handle(input); }
  void handle(const WorkerResponseReceived& input) { outbox_.handle(input); }
  void handle(const PeerMessageReceived& input);
  void handle(const PeerDisconnected& input);
  void handle(const RegionMessageReceived& input) { handle_region_message(input); }
  void handle(const MalformedRequest& input);
  void tick();
  void check_event_loop_lag();
  /// Responses that carry commands or job states must not be sent at or after this time.
  [[nodiscard]] Time commands_valid_until() const { return election_.lease_expiry(); }
  [[nodiscard]] Time heartbeat_interval() const {
    return ms(settings_.workers.heartbeat_interval_s);
  }
  [[nodiscard]] Time worker_lease() const { return ms(settings_.workers.lease_s); }

  void leadership_tick();
  void campaign_started() override;
  void stepped_down(StepDownCause cause, bool led) override;
  void lease_regained() override;
  void requeue_lookups();

  // controller_heartbeats.cpp
  void handle_peer_heartbeat(std::size_t peer, const ControllerHeartbeat& heartbeat);
  void send_heartbeats();

  // user_requests.cpp
  void handle_user_request(const UserRequest& request);
  void lead_submit(const UserRequest& request);
  /// Responds with the refusal's status and the text, and logs the refusal.
  void refuse(const RequestSource& source, Refusal refusal, std::string_view text);
  void lead_query(const UserRequest& request);
  void lead_cancel(const UserRequest& request);
  void finish_cancellation(Job& job);
  [[nodiscard]] Time cancel_response_timeout() const;
  [[nodiscard]] bool can_stop_promptly(const Job& job) const;
  void reject_cancel_waits(const std::string& id);
  std::optional<std::size_t> relaying_peer();
  void forward(const RequestSource& source, RequestOp op, const std::string& id, std::string body,
               std::size_t peer, std::uint64_t fencing_token = 0, bool relay = false);
  void handle_peer_response(std::size_t peer, const PeerResponse& response);
  void user_request_tick();
  void look_up_in_checkpoint(const RequestSource& source, const std::string& id);
  void respond_unknown(const RequestSource& source, bool unreadable, Time valid_until);
  void refresh_snapshot();
  void list_snapshot_keys(const std::string& from, std::uint64_t revision);
  void finish_lookups(bool succeeded);
  [[nodiscard]] JobView view(const Job& job) const;
  [[nodiscard]] JobView view(const std::string& id, const FinishedJob& job) const;
  void respond_with_job(const RequestSource& source, int status, const JobView& view);

  // checkpoint_outcomes.cpp
  [[nodiscard]] LeaderTerm leader_term() const override;
  void shares_committed() override;
  void scheduling_possible() override;
  void scale_outs_committed(const std::vector<std::string>& names) override;
  void respond_with_committed_job(const RequestSource& source, int status,
                                  const std::string& id) override;
  void job_finished(Job& job) override;
  void commit_rejected() override;
  void checkpoint_overwritten() override;
  void respond_committed(const RequestSource& source, int status, const Job& job);
  void finalize_if_over(Job& job);

  // share_actions.cpp
  void share_tick();
  void handle_region_message(const RegionMessageReceived& input);
  void perform_share_actions(std::vector<federation::ShareAction> actions);
  void preempt_beyond_cap(const std::string& name, Priority below);

  // reconciliation.cpp
  void elected() override;
  void load_checkpoint(const std::string& start_key, std::uint64_t revision);
  void begin_reconciliation();
  void record_unreadable_values(const Snapshot& checkpoint);
  void load_scale_outs(const Snapshot& checkpoint);
  void load_jobs(Snapshot& checkpoint);
  void load_job(JobRecord record);
  void load_machines(const Snapshot& checkpoint);
  void reconcile();
  void probe_machine(Machine& target);
  void probe_if_due(Machine& machine);
  [[nodiscard]] bool awaits_reconciliation(const Machine& machine) const;
  void probe_tick();

  // heartbeat_handler.cpp
  void handle_heartbeat(const HeartbeatReceived& input);
  void handle_heartbeat_without_lease(const HeartbeatReceived& input);
  void handle_heartbeat_with_old_fencing_token(const HeartbeatReceived& input);
  /// The result of processing a heartbeat.
  enum class HeartbeatOutcome : std::uint8_t {
    Taken,
    Late,                // a newer heartbeat of the machine was processed before it
    IncarnationExpired,  // it belongs to an incarnation that is proven to have ended
    UnknownMachine       // it reports tasks on an unknown machine, which cannot have any
  };
  /// Processes a heartbeat, or the status in the response to a direct request that was sent at
  /// `sent_at` (ms); `sent_at` is empty for a heartbeat.
  HeartbeatOutcome apply_heartbeat(const Heartbeat& heartbeat, std::optional<Time> sent_at);
  [[nodiscard]] static bool is_late(const Machine& machine, const Heartbeat& heartbeat);
  void reject_heartbeat(const HeartbeatReceived& input, Machine& machine);
  [[nodiscard]] bool unknown_with_tasks(const Heartbeat& heartbeat);
  void apply_first_heartbeat(Machine& machine, const Heartbeat& heartbeat);
  void begin_incarnation(Machine& machine);
  void record_address(Machine& machine, const std::string& address);
  void record_heartbeat(Machine& machine, const Heartbeat& heartbeat);
  void handle_spot_notice(Machine& machine, double notice_s);

  // task_status_handler.cpp
  void handle_missing_task(Machine& machine, std::size_t index, std::uint64_t heartbeat_seq,
                           bool direct);
  void drop_attempt(Machine& machine, std::size_t index);
  void drop_unsent_on_machine(Machine& machine);
  void quarantine(Machine& machine, QuarantineCause cause);
  void handle_incarnation_loss(Machine& machine, IncarnationLossCause cause);
  void apply_task_status(Machine& machine, const TaskStatus& status, std::vector<bool>& reported);
  TaskAttempt& adopt_attempt(Machine& machine, const TaskStatus& status);
  TaskAttempt& add_orphan(Machine& machine, const TaskStatus& status, Job* job);
  void update_attempt_state(Machine& machine, TaskAttempt& attempt, AttemptState state);
  void handle_task_exit(Machine& machine, TaskAttempt& attempt);
  void handle_task_error(Job& job, Machine& machine);
  void check_for_fault(Machine& machine);
  std::vector<Command> commands_for(Machine& machine, std::uint64_t heartbeat_seq);
  static std::string zones_known(const Job& job);
  void handle_machine_gone(Machine& machine, IncarnationLossCause cause);
  void record_completed_task(Job& job, std::uint32_t index, const Machine& machine);

  // image_fetches.cpp
  void record_image_held(Machine& machine, const JobSpec& spec);
  void record_fetch_started(Machine& machine, const JobSpec& spec);
  void record_fetch_finished(Machine& machine, const std::string& image);
  [[nodiscard]] std::size_t fetch_limit() const;

  // failure_detection.cpp
  /// Counts the machines that have sent a heartbeat in this epoch: all of them, those that are
  /// silent, and those heard recently enough that their leases are not at risk.
  struct FleetContact {
    std::size_t up = 0, silent = 0, heard = 0;
  };
  void machine_tick();
  [[nodiscard]] FleetContact fleet_contact() const;
  [[nodiscard]] bool lost_contact_with_workers(const FleetContact& contact) const;
  void watch_machine(Machine& machine, bool few_are_silent);
  [[nodiscard]] Time silent_after() const;
  [[nodiscard]] Time unheard_after() const;
  [[nodiscard]] static bool machines_likely_at_fault(std::size_t silent, std::size_t total);
  void detect_dead_machines();
  [[nodiscard]] bool zone_unreachable(const std::string& zone) const;

  // keepalive.cpp
  [[nodiscard]] Time keep_alive_span() const;
  [[nodiscard]] Time machine_lease_expiry(const Machine& machine) const;
  void forward_heartbeat(const HeartbeatReceived& input);
  bool redirect_to_own_zone(const HeartbeatReceived& input);
  [[nodiscard]] std::optional<std::size_t> peer_in_zone(const std::string& zone);
  [[nodiscard]] bool was_redirected(const std::string& machine, Time within) const;
  void redirect_worker(const RequestSource& source, const std::string& machine, std::size_t peer);
  void keep_alive(const RequestSource& source, const std::string& machine,
                  std::uint64_t fencing_token, bool may_redirect);
  [[nodiscard]] std::size_t preceding_peer() const;

  // placement.cpp
  /// What a machine must provide to run a task, independent of where the job's other tasks run.
  struct ResourceRequest {
    Resources each;  // per task
    bool spot = false;
    std::string zone;
    bool any_type = true;
    std::vector<std::string> types;
    /// True if this request needs at least as much as the other under the same constraints: no
    /// machine that lacks room for the other has room for this one.
    [[nodiscard]] bool needs_at_least(const ResourceRequest& other) const;
    bool operator==(const ResourceRequest&) const = default;
  };
  static ResourceRequest resource_request_of(const JobSpec& spec) {
    return {spec.need, spec.spot, spec.zone, spec.any_type, spec.types};
  }
  /// Demand of waiting tasks of one kind that found no room in the latest scheduling pass.
  struct UnmetDemand {
    ResourceRequest want;
    Resources total;
    std::uint32_t tasks = 0;
    bool guaranteed = false;
    bool starved = false;  // has waited for longer than a machine launched for it takes to come up
  };
  /// A kind of work for which the current pass has found nothing to preempt; it is not searched
  /// for again.
  struct FailedPreemption {
    ResourceRequest want;
    Priority priority = Priority::Low;
    const TeamQuota* team = nullptr;
    bool guaranteed = false;
    std::string image;  // image that the machine had to hold; empty: any machine
  };
  /// A kind of work for which no replicas can be migrated away, or a kind of replica that cannot
  /// migrate.
  struct FailedMigration {
    ResourceRequest want;
    std::string image;
  };
  void schedule_all();
  bool place_job(Job& job);
  bool task_due(Job& job, std::uint32_t index);
  std::optional<std::uint32_t> place_tasks(Job& job, bool one_by_one);
  /// What a pass has done for a task that it had to place.
  enum class PlacementOutcome : std::uint8_t { Placed, RoomReserved, NoRoom };
  PlacementOutcome place_task(Job& job, std::uint32_t index);
  Machine* image_holder_with_room(const Job& job, const Machine& machine);
  [[nodiscard]] bool may_run_beside_image(const Job& job, const Machine& holder) const;
  bool make_room_at_image_holder(Job& job, const Machine& machine);
  void bind(Job& job, std::uint32_t index, Machine& machine, std::uint64_t attempt);
  void drop_unsent_of_job(Job& job);
  void record_unmet_demand(Job& job, const TeamQuota& team, std::uint32_t tasks,
                           const std::string& zone);
  [[nodiscard]] bool fetch_violates_slo(const Job& job, const Machine& machine,
                                        const char* slo) const;
  [[nodiscard]] bool fetch_violates_any_slo(const Job& job, const Machine& machine) const;
  std::uint64_t new_attempt_number();
  /// How well a machine suits a task: compared lexicographically, most important criterion first;
  /// lower is better.
  using BinPackingScore = std::array<double, 6>;
  static constexpr std::size_t kScoreFailed = 0, kScoreSameJobReplicas = 4;
  [[nodiscard]] MachineRating<BinPackingScore> bin_packing_score(const JobSpec& spec,
                                                                 const Machine& machine,
                                                                 bool may_queue_fetch) const;
  [[nodiscard]] static BinPackingScore score_for_job(const Job& job, const Machine& machine,
                                                     BinPackingScore kind_score);
  /// Identifies the jobs for which a pass ranks machines in the same order, except for the effect
  /// of a job's own tasks.
  struct RankingKey {
    std::string image;
    Priority priority = Priority::Low;
    bool may_queue_fetch = false;
    ResourceRequest want;
    bool operator==(const RankingKey&) const = default;
  };
  /// Identifies the jobs for which a pass ranks machines by preemption cost in the same order.
  struct PreemptionKey {
    std::string image;
    Priority priority = Priority::Low;
    const TeamQuota* team = nullptr;
    bool guaranteed = false, warm_only = false;
    std::string zone;
    ResourceRequest want;
    bool operator==(const PreemptionKey&) const = default;
  };
  [[nodiscard]] std::size_t max_rankings() const;
  void begin_rankings(const std::optional<Resources>& least_need);
  void end_rankings();
  /// Records that a machine's free room or its tasks have changed during the current pass, so that
  /// rankings rate it again.
  void machine_changed(Machine& machine) { machines_changed_.push_back(&machine); }
  void reserve(Machine& machine, const Resources& room);
  void reserve_for(Job& job, Machine& machine, const Resources& room, ReservationCause cause,
                   std::uint32_t tasks = 1);
  void unreserve(Machine& machine, const Resources& room);
  /// Returns the best machine for one more task of the job, or null if none has room.
  Machine* best_machine(const Job& job, bool may_queue_fetch);
  Machine* take_migration_target(const Job& job, std::uint32_t index);
  [[nodiscard]] bool can_start_tasks(const Machine& machine) const;
  /// Whether the machine is usable and not draining, so that any work may be placed on it.
  [[nodiscard]] bool accepts_new_tasks(const Machine& machine) const {
    return can_start_tasks(machine) && !machine.draining;
  }
  using Reservations = std::unordered_map<const Machine*, Resources>;
  /// Returns a machine's free room minus the room that `reservations` reserve on it.
  [[nodiscard]] static Resources unreserved_room(const Reservations& reservations,
                                                 const Machine& machine);
  /// Returns the room that a machine will have once the tasks being stopped or migrated away are
  /// gone, minus the current pass's reservations.
  [[nodiscard]] Resources room_after_stops(const Machine& machine) const;
  /// Clears the failures recorded in this pass. Called when room has grown, as requests that failed
  /// earlier may succeed now.
  void clear_failed_requests();
  using Queues = std::array<std::vector<Job*>, kPriorityCount>;
  [[nodiscard]] Queues mark_guaranteed_jobs();
  void sort_queue(std::vector<Job*>& jobs) const;
  [[nodiscard]] bool never_all_at_once(const JobSpec& spec) const;
  /// Returns why no task of the job, or not all tasks of a gang at once, could ever run; empty if
  /// they could.
  [[nodiscard]] std::optional<Infeasibility> infeasibility(const JobSpec& spec) const;

  // gang_scheduling.cpp
  /// Schedules a review of the job's gang because its tasks have changed; does nothing for other
  /// jobs.
  void review_gang(const Job& job);
  void review_gangs();
  Gang& gang_state(const Job& job);
  [[nodiscard]] static bool is_gang(const Job& job) { return job.spec().kind == JobKind::Gang; }
  [[nodiscard]] GangView gang_view(const Job& job) const;
  [[nodiscard]] bool start_overdue(const Machine& machine) const;
  bool place_gang(Job& job);
  bool gang_due(const Job& job);
  bool place_gang_tasks(Job& job, std::uint64_t attempt);
  [[nodiscard]] std::vector<Machine*> gang_machines(const Job& job) const;
  [[nodiscard]] GangCandidate gang_candidate(const Job& job, const Machine& machine) const;
  [[nodiscard]] double heartbeat_due_s(const Machine& machine) const;
  [[nodiscard]] double fetch_s(const Job& job, const Machine& machine) const;
  [[nodiscard]] GangZones gang_zones(const Job& job) const;
  void make_room_for_gang(Job& job, const GangPlan& plan, const std::vector<Machine*>& machines);
  [[nodiscard]] Time starvation_timeout() const;
  /// A machine that will have room for `slots` tasks of a gang, and its present room.
  struct FutureRoom {
    Machine* machine = nullptr;
    Resources room;
    std::uint32_t slots = 0;
  };
  [[nodiscard]] std::vector<FutureRoom> future_rooms(
      const Job& job, std::uint32_t missing, const std::string& zone,
      const std::function<bool(const TaskAttempt&)>& will_end) const;
  [[nodiscard]] static std::optional<std::string> zone_with_room(
      const Job& job, std::uint32_t missing, const std::string& zone,
      const std::vector<FutureRoom>& rooms);
  bool preempt_for_gang(Job& job, std::uint32_t missing, const std::string& zone);
  bool reserve_machines_for_gang(Job& job, std::uint32_t missing, const std::string& zone);
  /// After this multiple of its type's boot time, a booting machine no longer counts as supply.
  static constexpr double kLateBootFactor = 1.3;
  [[nodiscard]] std::string zone_to_scale_out_in(const Job& job, const std::string& best) const;
  /// Stops a task and, if it belongs to a gang, all other tasks of the gang.
  void stop_with_gang(TaskAttempt& attempt, double grace_s);
  void stop_gang(Job& job, double grace_s);

  // preemption.cpp
  /// Reserves room for one more task of the job, preempting others if needed. `warm_only` restricts
  /// this to machines that hold the job's image, `zone` to machines of that zone. False if no
  /// machine qualifies.
  bool preempt_for(Job& job, bool warm_only = false, const std::string& zone = {});
  bool preempt_on_best_machine(Job& job, bool warm_only, const std::string& zone);
  /// The tasks to preempt on a machine, and the total cost of preempting them.
  struct PreemptionPlan {
    std::vector<TaskAttempt*> victims;
    double cost = 0;
  };
  std::optional<PreemptionPlan> preemption_plan_on(Machine& machine, const Job& job) const;
  MachineRanking<double>& preemption_ranking(const Job& job, bool warm_only,
                                             const std::string& zone);
  static bool preempted_before(const TaskAttempt* first, const TaskAttempt* second);
  [[nodiscard]] double preemption_cost(const TaskAttempt& attempt) const;
  bool migrate_for(Job& job);
  [[nodiscard]] bool migratable(const TaskAttempt& attempt) const;
  /// A replica to be migrated, and the machine that takes it.
  struct PlannedMigration {
    TaskAttempt* attempt_record = nullptr;
    Machine* to = nullptr;
  };
  std::optional<std::vector<PlannedMigration>> plan_migrations(Machine& machine, const Job& job);
  void migrate_replica(TaskAttempt& attempt, Machine& from, const Machine& to);
  void migration_tick();
  void stop_tick();
  [[nodiscard]] bool may_preempt(const Job& job, const TaskAttempt& attempt) const;
  void stop_task(TaskAttempt& attempt, double grace_s);
  void stop_job(Job& job);
  [[nodiscard]] double grace_period_s(const Job& job) const;

  // autoscaler.cpp, cloud_inventory.cpp, instance_requests.cpp, scale_out.cpp, scale_in.cpp
  void autoscale_tick();
  void poll_cloud();
  void request_machine_list();
  void handle_types(const CloudResponse& reply);
  void check_capacity();
  void handle_machine_list(const CloudResponse& reply);
  void autoscale();
  /// A machine type as a spot or as an on-demand instance.
  struct MachineKind {
    std::string type;
    bool spot = false;
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads the generated comparison
    auto operator<=>(const MachineKind&) const = default;
  };
  /// A kind of machine in one zone.
  struct InstancePool {
    MachineKind kind;
    std::string zone;
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads the generated comparison
    auto operator<=>(const InstancePool&) const = default;
  };
  /// Machines that are up or on their way: `pending` counts those that are requested or booting,
  /// `by_zone` includes those that are up.
  struct FleetSupply {
    std::map<InstancePool, double> pending;
    std::map<MachineKind, std::map<std::string, int>> by_zone;
  };
  /// Room that is to be added: for work that runs in any zone, and for work bound to one zone.
  struct Demand {
    std::map<MachineKind, PoolDemand> anywhere;
    std::map<InstancePool, PoolDemand> in_zone;
  };
  /// The total size of the on-demand machines that accept work, and the resources used by work that
  /// may not run on spot instances.
  struct OnDemandCapacity {
    Resources size, used;
  };
  /// What one run of the autoscaler did with the tasks that wait for room. The counts of tasks name
  /// those for which it requested no machine, by the reason.
  struct ScaleOutSummary {
    std::uint32_t tasks = 0;           // all that wait
    std::uint32_t in_freed_room = 0;   // expected to fit into the room that arrays free
    std::uint32_t without_type = 0;    // no machine type that may be launched now can hold them
    std::uint32_t over_allowance = 0;  // wait for spot instances, of which none can be launched now
    Resources demand;                  // of all that wait
    double machines = 0;               // what the demand comes to after these are left out
    double pending = 0;                // machines requested earlier that aren't up
    std::uint32_t requested = 0;       // machines requested by this run
  };
  [[nodiscard]] FleetSupply count_supply() const;
  [[nodiscard]] bool may_still_come_up(const Machine& machine, const MachineType& type) const;
  [[nodiscard]] double usable_pending(const MachineKind& kind, const FleetSupply& supply) const;
  [[nodiscard]] bool may_scale_out(const MachineKind& kind, const std::string& zone) const;
  [[nodiscard]] const MachineType* cheapest_type(const ResourceRequest& want, bool spot) const;
  [[nodiscard]] Resources room_freed_by_arrays() const;
  [[nodiscard]] Resources on_demand_allowance(const OnDemandCapacity& on_demand,
                                              const FleetSupply& supply) const;
  Demand demand_of_waiting(const OnDemandCapacity& on_demand, const FleetSupply& supply);
  static std::uint32_t subtract_freed_room(Resources& freed, UnmetDemand& unmet);
  std::uint32_t limit_to_allowance(const MachineType& type, Resources& allowance,
                                   UnmetDemand& unmet);
  void log_unmet_demand();
  void add_headroom(const OnDemandCapacity& on_demand, Demand& demand) const;
  void scale_out_in_zone(const InstancePool& pool, const PoolDemand& demand, FleetSupply& supply);
  void scale_out_missing(const MachineKind& kind, const PoolDemand& demand, FleetSupply& supply);
  void scale_out(const MachineKind& kind, const std::string& zone, std::uint32_t count);
  void send_scale_outs();
  void handle_scale_out_response(const std::string& name, const CloudResponse& reply);
  void add_launched(const ScaleOutRequest& request, const std::vector<std::string>& names);
  void scale_in_idle();
  [[nodiscard]] OnDemandCapacity on_demand_capacity() const;
  void drain_surplus(OnDemandCapacity on_demand);
  [[nodiscard]] std::vector<Machine*> machines_to_drain() const;
  bool drain_machine(Machine& machine, Reservations& under_way,
                     std::vector<FailedMigration>& failed_migrations);
  [[nodiscard]] bool is_surplus(const OnDemandCapacity& on_demand, const Machine& machine) const;
  /// Maps each image to the machines that hold it, ordered by machine name.
  using ImageHolders = std::unordered_map<std::string, std::vector<Machine*>>;
  const ImageHolders& image_holders();
  [[nodiscard]] Machine* find_migration_target(const TaskAttempt& attempt, const Machine& from,
                                               const Reservations& reservations,
                                               const std::vector<PlannedMigration>& plan);
  void send_terminations();
  void terminate_instance(Machine& machine, TerminationCause cause);
  void cordon(Machine& machine, CordonCause cause);

  const Settings settings_;
  const Options options_;
  pcg32 random_;
  Clock clock_;
  Outbox outbox_;
  RefusalLog refusals_;
  Tables tables_;
  RegionalQuotas quotas_;
  Time next_load_report_ = 0;    // next time the quota share manager is updated with the load
  EventLoopLag event_loop_lag_;  // of this controller's ticks

  // leadership
  Time next_heartbeat_ = 0;
  Time last_healthy_at_ = 0;  // last time this controller led, knew a leader or read the checkpoint
  const std::uint64_t incarnation_;  // random number that identifies this process
  PeerTable peers_;
  LeaderElection election_;

  // keeping workers' tasks alive without a leader
  KeepAlivePermit keep_alive_permit_;
  Time next_redirect_cleanup_ = 0;  // next time old entries of `redirected_at_` are removed
  Time kept_alive_at_ = -kNever;    // last time this controller renewed a worker's lease by itself
  Time last_worker_heartbeat_ = -kNever;  // last one that a worker sent directly to this controller
  /// When each machine's worker was last redirected, by machine name.
  std::unordered_map<std::string, Time> redirected_at_;

  // handling users' requests as a follower
  /// A request that was forwarded to a peer and has not been answered yet.
  struct Forwarded {
    RequestSource source;
    RequestOp op = RequestOp::Query;
    std::string id;  // of the job, or the name of the machine that sent the heartbeat
    std::size_t peer = 0;
    Time sent = 0, until = 0;
    std::uint64_t fencing_token = 0;  // as shown by a forwarded heartbeat
  };
  /// Handles a forwarded request that the peer has not answered in time, or whose response is no
  /// longer valid.
  void handle_forward_timeout(const Forwarded& forwarded);
  std::map<std::uint64_t, Forwarded> forwarded_;
  /// The call id of the next request that is forwarded. A restarted controller must not use the
  /// ids of its predecessor again: a late response to the predecessor would be taken for another
  /// request's.
  std::uint64_t next_forward_ = incarnation_;
  /// The checkpoint as a follower reads it for queries, and as a new leader is loading it.
  Snapshot snapshot_, loading_snapshot_;
  bool snapshot_loaded_ = false;
  std::uint64_t snapshot_revision_ = 0;
  Time snapshot_read_at_ = 0;
  /// A query that a follower answers from the checkpoint.
  struct Lookup {
    RequestSource source;
    std::string id;
    Time since = 0;
  };
  /// Queries that wait for the next read of the checkpoint, and those that the current one answers.
  std::vector<Lookup> lookups_, lookups_served_;
  /// A cancel request whose response waits until all of the job's tasks are gone.
  struct CancelWait {
    RequestSource source;
    Time until = 0;
  };
  std::unordered_map<std::string, std::vector<CancelWait>> cancel_waits_;
  bool refreshing_ = false;
  Time next_refresh_ = 0;

  CheckpointWriter checkpoint_;

  // reconciliation
  bool reconciling_ = false;
  /// The time by which every task that a former leader kept alive has certainly ended.
  Time former_leases_expire_at_ = 0;
  std::uint64_t next_attempt_ = 1;
  /// Whether checkpoint values that hold jobs or machines could not be read: jobs or machines that
  /// are not in the tables may exist nevertheless.
  bool unknown_jobs_ = false, unknown_machines_ = false;

  // machines
  PendingScaleOuts pending_scale_outs_;
  std::uint64_t next_scale_out_ = 1;
  std::map<InstancePool, Time> no_capacity_until_;
  std::set<std::string> termination_queue_;
  std::map<std::string, Time> terminated_;
  bool terminate_call_in_flight_ = false;
  Time next_types_ = 0, next_list_ = 0, next_autoscaling_ = 0;
  bool list_call_in_flight_ = false, capacity_checked_ = false;
  std::string list_cursor_;  // last machine of the list read so far; empty: no list is being read

  /// When a machine of each zone last answered a probe.
  std::unordered_map<std::string, Time> zone_reached_;
  /// When all machines of each zone were last found silent.
  std::unordered_map<std::string, Time> zone_unreachable_at_;

  // placement
  std::unordered_map<std::string, Gang> gangs_;
  std::set<std::string> gangs_to_review_;
  const Machine* heartbeat_sender_ = nullptr;  // the machine whose heartbeat is being answered
  bool scheduling_needed_ = false;
  Time next_scheduling_ = 0;
  std::vector<UnmetDemand> unmet_demand_;  // one entry per kind, ordered by the kind's first job
  std::unordered_map<const TeamQuota*, Resources> unmet_of_team_;
  /// True if work without a guaranteed quota waits and may use on-demand machines that are up, so
  /// none of them should be drained.
  bool on_demand_awaited_ = false;
  Time drain_not_before_ = 0;
  ScaleOutSummary scale_out_summary_;  // of the latest run of the autoscaler
  Time next_unmet_demand_log_ = 0;
  /// Observations of concurrent image fetches. Above 0: the fetches share a machine's rate; below
  /// 0: they don't.
  int fetch_votes_ = 0;
  /// A replica that migrates to another machine, and the room that is reserved for it there.
  struct Migration {
    std::string from, to;
    Resources need;
    Time until = 0;
    TaskKey key;
    std::uint64_t attempt = 0;
    bool begun = false;  // the replica has been told to stop
  };
  std::unordered_map<std::string, Migration> migrations_;
  std::set<std::string> stops_due_;  // machines with stop commands that haven't been sent yet
  /// Room that the current pass has reserved on machines for migrating replicas and for tasks that
  /// will be placed there later.
  Reservations reservations_;
  bool reserved_for_job_ = false;  // the current pass has reserved room for the job it examines
  /// Requests for which the current pass has found no room. Room only shrinks within a pass; where
  /// it grows, the lists of failures are cleared.
  std::vector<ResourceRequest> no_room_for_;
  std::vector<FailedMigration> no_migration_for_;
  /// Rankings of the machines that had room for the smallest waiting request when the pass began,
  /// and of all machines that accepted work then.
  RankingsByKind<RankingKey, BinPackingScore> rankings_{&Machine::placement_index};
  RankingsByKind<PreemptionKey, double> preemption_rankings_{&Machine::preemption_index};
  std::vector<Machine*> machines_changed_;  // during the current pass, in order
  /// Cache for `image_holders()`; empty if it has to be rebuilt.
  ImageHolders image_holders_;
  mutable std::uint64_t examined_ = 0;
  std::vector<FailedPreemption> no_preemption_for_;
};

}  // namespace sailreel
