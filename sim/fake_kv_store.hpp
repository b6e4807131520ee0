// A fake of the consensus-backed key-value store that implements its published protocol: revisions,
// leases, compare-and-swap, watches and rate limits.
#pragma once

#include <functional>
#include <list>
#include <map>
#include <string>
#include <vector>

#include "controller/rate_limiter.hpp"
#include "protocol/messages.hpp"

namespace sailreel::sim {

/// Holds the keys, leases and watches of all controllers of a region.
class FakeKvStore {
 public:
  using Reply = std::function<void(KvResponse)>;

  /// While this is set, requests get 503, watches get no response and no lease expires.
  bool outage = false;
  /// Limits of a value in bytes and of the operations in a transaction.
  std::size_t value_limit = std::size_t{8} * 1024, ops_limit = 16;
  /// Size of the values in the largest response to a watch.
  std::size_t largest_watch_response_bytes = 0;
  std::uint64_t over_limit_requests = 0;  // requests beyond the limits; controllers must send none
  std::uint64_t refused_writes = 0;       // requests that got 429 because of the rate of writes

  /// Requests above these rates get 429. Both rates allow bursts of one second's worth.
  void limit_rates(double requests_per_second, double writes_per_second);

  /// Responds at once; a watch gets its response when a key changes or its wait is over. If
  /// `rejected` is set, the request gets 503; a watch then gets no response.
  void handle(const KvRequest& request, bool rejected, Time now, Reply reply);

  /// Replaces a stored value by an unreadable one; false if the key doesn't exist.
  bool corrupt(const std::string& key);
  /// The value of a key; empty if the key doesn't exist.
  [[nodiscard]] std::string value_of(const std::string& key) const;

  /// Expires leases and sends the responses to watches that are due.
  void tick(Time now);
  /// Ends an outage. All leases run their full time from now on, as in the real store after it has
  /// lost its quorum and regained it.
  void end_outage(Time now);

 private:
  struct StoredValue {
    std::string value;
    std::uint64_t version = 0, lease = 0;
  };
  struct Lease {
    Time ttl = 0, expires_at = 0;
  };
  struct Watch {
    std::string prefix;
    std::uint64_t after_revision;
    Time until;
    bool rejected;
    Reply reply;
  };

  bool within_rates(const KvRequest& request, Time now);
  void get(const KvRequest& request, KvResponse& response) const;
  void list(const KvRequest& request, KvResponse& response) const;
  int compare_and_swap(const KvRequest& request);
  [[nodiscard]] bool exceeds_limits(const KvRequest& request) const;
  void remove_lease(std::uint64_t id);
  void expire_leases(Time now);
  void serve_watches(Time now);

  RateLimiter request_limiter_{1e9, 1e9};
  RateLimiter write_limiter_{1e9, 1e9};
  std::map<std::string, StoredValue> keys_;
  std::map<std::uint64_t, Lease> leases_;
  std::uint64_t revision_ = 0, last_lease_ = 0;
  std::vector<KvItem> changes_;  // all changes since the start, from which watches are served
  std::list<Watch> watches_;
};

}  // namespace sailreel::sim
