// The process of one region. Its controllers are child processes; the key-value store, the cloud,
// the workers and the users are simulated, and reach the controllers over sockets.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "scale/child_process.hpp"
#include "scale/message_stream.hpp"
#include "scale/plan.hpp"
#include "scale/remote_controller.hpp"
#include "scale/workload.hpp"
#include "sim/simulated_region.hpp"
#include "transport/http_client.hpp"
#include "transport/http_server.hpp"
#include "transport/loop.hpp"

namespace sailreel::scale {

struct RegionOptions {
  int region = 0;
  std::string controller_program;  // path of the controller program
  std::string directory;           // for settings files and logs
  Time begin_ms = 0;               // start of the run on the steady clock, the same for all regions
};

/// Advances the simulation of a region in real time, and connects it to the controllers' processes.
class RegionProcess : public RegionSockets {
 public:
  RegionProcess(const Plan& plan, RegionOptions options);
  ~RegionProcess() override;
  RegionProcess(const RegionProcess&) = delete;
  RegionProcess& operator=(const RegionProcess&) = delete;

  /// Runs until the plan's end, or until the main process ends, and then exits this process.
  void run();

 private:
  /// Sockets of a simulated worker, which speaks the real protocol but runs no tasks.
  struct WorkerSockets {
    std::unique_ptr<HttpClient> client;
    std::unique_ptr<HttpServer> server;
    /// Address of the controller that the worker's last heartbeat was sent to.
    std::string controller_address;
  };

  void send_heartbeat(const std::string& machine, const std::string& address,
                      const std::string& body, std::function<void(int, std::string)> done) override;
  void send_user_request(const std::string& address, const UserRequest& request,
                         std::function<void(int, std::string)> done) override;
  void response_received(std::size_t node, const Response& response) override;

  std::unique_ptr<sim::SimulatedController> start_controller(std::size_t node,
                                                             const Settings& settings);
  WorkerSockets& worker_sockets(const std::string& machine);
  void serve_kv_store(const ServerRequest& request);
  void serve_cloud(const ServerRequest& request);
  void serve_worker(const std::string& machine, HttpServer& server, const ServerRequest& request);
  void schedule_faults();
  void inject(const Fault& fault);
  void remove_zone_workers(const std::string& zone);
  [[nodiscard]] std::size_t busiest_controller() const;
  void advance();
  void sample();
  void check_timeouts();
  void send_message(const RegionMessage& message);
  void finish();
  [[nodiscard]] RegionResult result();
  [[nodiscard]] Time elapsed() const;

  const Plan plan_;
  const RegionOptions options_;
  const int main_process_id_;
  EventLoop loop_;
  HttpClient users_;
  std::unique_ptr<HttpServer> kv_store_, cloud_;
  std::map<std::string, WorkerSockets> workers_;
  std::map<std::size_t, int> controller_pids_;
  std::unique_ptr<sim::SimulatedRegion> region_;
  std::unique_ptr<Workload> workload_;
  Timer clock_timer_, sample_timer_, timeout_check_timer_;
  bool advancing_ = false;
  double worker_seconds_ = 0;
  std::uint64_t kv_writes_ = 0;
  Time late_ms_max_ = 0;
};

}  // namespace sailreel::scale
