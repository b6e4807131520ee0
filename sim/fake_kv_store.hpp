// The consensus-backed key-value store as controllers see it, by its published protocol: revisions,
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

class FakeKvStore {
 public:
  using Reply = std::function<void(KvResponse)>;

  /// While it lasts, requests get 503, watches get nothing and no lease expires.
  bool outage = false;
  std::size_t value_limit = std::size_t{8} * 1024, ops_limit = 16;
  std::size_t largest_watch = 0;  // in bytes of values
  std::uint64_t malformed = 0;    // requests beyond the limits; ours must never be
  std::uint64_t refused_writes = 0;

  /// Above these limits requests get 429; both allow bursts of one second's worth.
  void limit_rates(double requests_per_second, double writes_per_second);

  /// Responds at once; a watch gets its response when a key changes or its wait is over.
  void handle(const KvRequest& request, bool rejected, Time now, Reply reply);

  /// Damages a stored value; false if there is none.
  bool corrupt(const std::string& key);
  [[nodiscard]] std::string value_of(const std::string& key) const;

  void tick(Time now);
  /// All leases run their full time from now on, as in the real store after it had no quorum.
  void outage_over(Time now);

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
    std::uint64_t from;
    Time until;
    bool rejected;
    Reply reply;
  };

  bool within_rates(const KvRequest& request, Time now);
  void get(const KvRequest& request, KvResponse& response) const;
  void list(const KvRequest& request, KvResponse& response) const;
  int compare_and_swap(const KvRequest& request);
  [[nodiscard]] bool exceeds_limits(const KvRequest& request) const;
  void drop_lease(std::uint64_t id);
  void expire_leases(Time now);
  void serve_watches(Time now);

  RateLimiter requests_{1e9, 1e9};
  RateLimiter writes_{1e9, 1e9};
  std::map<std::string, StoredValue> keys_;
  std::map<std::uint64_t, Lease> leases_;
  std::uint64_t revision_ = 0, last_lease_ = 0;
  std::vector<KvItem> changes_;  // since the beginning, for watches
  std::list<Watch> watches_;
};

}  // namespace sailreel::sim
