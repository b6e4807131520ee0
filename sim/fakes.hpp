// Stand-ins for the state service and the cloud, by their published protocol.
#pragma once

#include <functional>
#include <list>
#include <map>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "controller/rate_limiter.hpp"
#include "protocol/messages.hpp"

namespace sailreel::sim {

class FakeKvStore {
 public:
  using Reply = std::function<void(KvResponse)>;

  bool outage = false;
  std::size_t value_limit = std::size_t{8} * 1024, ops_limit = 16;
  std::size_t largest_watch = 0;  // in bytes of values
  std::uint64_t malformed = 0;    // requests beyond the limits; ours must never be
  std::uint64_t refused_writes = 0;

  /// Above these limits requests get 429; both allow bursts of one second's worth.
  void limit_rates(double requests_per_second, double writes_per_second) {
    requests_ = RateLimiter(requests_per_second, requests_per_second);
    writes_ = RateLimiter(writes_per_second, writes_per_second);
  }

  /// Answers at once, or keeps a watch until its time.
  void handle(const KvRequest& call, bool refused, Time now, Reply reply) {
    using Kind = KvRequest::Kind;
    expire(now);
    if (call.kind == Kind::Watch) {
      watches_.push_back({call.key, call.revision, now + call.wait_ms, refused, std::move(reply)});
      return serve_watches(now);
    }
    KvResponse r;
    r.revision = revision_;
    if (outage || refused) {
      r.status = 503;
      return reply(r);
    }
    if (!within_rates(call, now)) {
      r.status = 429;
      return reply(r);
    }
    r.status = 200;
    switch (call.kind) {
      case Kind::Get:
        if (const auto it = keys_.find(call.key); it == keys_.end())
          r.status = 404;
        else
          r.items.push_back({call.key, it->second.value, it->second.version, false});
        break;
      case Kind::List:
        for (auto it = call.from.empty() ? keys_.lower_bound(call.key)
                                         : keys_.upper_bound(call.from);
             it != keys_.end() && it->first.starts_with(call.key); ++it) {
          if (r.items.size() >= call.limit) {
            r.more = true;
            break;
          }
          r.items.push_back({it->first, it->second.value, it->second.version, false});
        }
        break;
      case Kind::Txn:
        r.status = transact(call, now);
        r.revision = revision_;
        break;
      case Kind::Grant:
        r.lease = ++last_lease_;
        leases_[last_lease_] = {call.ttl_ms, now + call.ttl_ms};
        break;
      case Kind::Renew:
        if (const auto it = leases_.find(call.lease); it == leases_.end())
          r.status = 404;
        else
          it->second.second = now + it->second.first;
        break;
      case Kind::Revoke:
        drop_lease(call.lease);
        break;
      case Kind::Watch:
        break;
    }
    reply(r);
    serve_watches(now);
  }

  /// Damages a value where it lies; false if there is none.
  bool spoil(const std::string& key) {
    const auto it = keys_.find(key);
    if (it == keys_.end()) return false;
    it->second.value = "gibberish";
    return true;
  }
  [[nodiscard]] std::string value_of(const std::string& key) const {
    const auto it = keys_.find(key);
    return it == keys_.end() ? std::string() : it->second.value;
  }

  void tick(Time now) {
    expire(now);
    serve_watches(now);
  }
  void outage_over(Time now) {
    outage = false;
    for (auto& [id, lease] : leases_) lease.second = now + lease.first;
  }

 private:
  RateLimiter requests_{1e9, 1e9};
  RateLimiter writes_{1e9, 1e9};

  struct Key {
    std::string value;
    std::uint64_t version = 0, lease = 0;
  };
  struct WatchCall {
    std::string prefix;
    std::uint64_t from;
    Time until;
    bool refused;
    Reply reply;
  };

  bool within_rates(const KvRequest& call, Time now) {
    if (!requests_.allows(1, now)) return false;
    requests_.spend(1, now);
    const auto writes = static_cast<double>(call.puts.size() + call.deletes.size());
    if (writes == 0) return true;
    if (!writes_.allows(writes, now)) {
      ++refused_writes;
      return false;
    }
    writes_.spend(writes, now);
    return true;
  }

  int transact(const KvRequest& call, Time) {
    std::size_t bytes = 0;
    for (const auto& p : call.puts) {
      bytes += p.key.size() + p.value.size() + 40;
      if (p.value.size() > value_limit) return ++malformed, 400;
    }
    if (bytes > std::size_t{64} * 1024 || call.puts.size() + call.deletes.size() > ops_limit ||
        call.conditions.size() > 4 * ops_limit)
      return ++malformed, 400;
    for (const auto& p : call.puts)
      if (p.lease != 0 && !leases_.contains(p.lease)) return 400;
    for (const auto& c : call.conditions) {
      const auto it = keys_.find(c.key);
      if ((it == keys_.end() ? 0 : it->second.version) != c.version) return 409;
    }
    if (call.puts.empty() && call.deletes.empty()) return 200;
    ++revision_;
    for (const auto& p : call.puts) {
      keys_[p.key] = {p.value, revision_, p.lease};
      events_.push_back({p.key, p.value, revision_, false});
    }
    for (const auto& d : call.deletes)
      if (keys_.erase(d) > 0) events_.push_back({d, "", revision_, true});
    return 200;
  }
  void drop_lease(std::uint64_t id) {
    if (leases_.erase(id) == 0) return;
    bool raised = false;
    for (auto it = keys_.begin(); it != keys_.end();) {
      if (it->second.lease != id) {
        ++it;
        continue;
      }
      if (!raised) ++revision_;
      raised = true;
      events_.push_back({it->first, "", revision_, true});
      it = keys_.erase(it);
    }
  }
  void expire(Time now) {
    if (outage) return;
    std::vector<std::uint64_t> over;
    for (const auto& [id, lease] : leases_)
      if (now > lease.second) over.push_back(id);
    for (const auto id : over) drop_lease(id);
  }
  void serve_watches(Time now) {
    if (outage) return;
    for (auto it = watches_.begin(); it != watches_.end();) {
      KvResponse r;
      r.status = 200;
      r.revision = revision_;
      std::size_t bytes = 0;
      if (!it->refused)
        for (const auto& e : events_)
          if (e.version > it->from && e.key.starts_with(it->prefix)) {
            r.items.push_back(e);
            bytes += e.value.size();
          }
      largest_watch = std::max(largest_watch, bytes);
      if (it->refused || (r.items.empty() && now < it->until)) {
        ++it;
        continue;
      }
      const Reply reply = std::move(it->reply);
      it = watches_.erase(it);
      reply(r);
    }
  }

  std::map<std::string, Key> keys_;
  std::map<std::uint64_t, std::pair<Time, Time>> leases_;
  std::uint64_t revision_ = 0, last_lease_ = 0;
  std::vector<KvItem> events_;
  std::list<WatchCall> watches_;
};

struct CloudMachine {
  std::string name, address, type, zone;
  bool spot = false, up = false, broken = false;
  Time launched = 0, boots = 0;
};

/// What the cloud calls the machine that it rents as the `number`th.
inline std::string machine_name(std::size_t number) {
  char name[32];
  std::snprintf(name, sizeof name, "m-%06zu", number);
  return name;
}

class FakeCloud {
 public:
  explicit FakeCloud(std::uint64_t seed) : random_(seed) {}

  std::vector<MachineType> types;
  std::map<std::pair<std::string, bool>, std::uint32_t> capacity;  // by zone and kind
  std::map<std::string, CloudMachine> machines;
  bool outage = false;
  /// One in so many rented machines stays booting for ever; 0: none.
  std::uint32_t one_in_never_up = 25;
  /// Each machine gets an address of its own below this; empty: a made-up one.
  std::string address_prefix;
  std::function<void(const CloudMachine&)> on_launched;
  std::function<void(const std::string&)> on_released;

  CloudResponse handle(const CloudRequest& call, Time now) {
    CloudResponse r;
    r.status = 200;
    if (outage) {
      r.status = 503;
      return r;
    }
    switch (call.kind) {
      case CloudRequest::Kind::Types:
        r.types = types;
        break;
      case CloudRequest::Kind::ScaleOut: {
        if (const auto it = requests_.find(call.scale_out.request); it != requests_.end()) {
          r.names = it->second;
          break;
        }
        std::uint32_t used = 0;
        for (const auto& [name, m] : machines)
          used += m.zone == call.scale_out.zone && m.spot == call.scale_out.spot ? 1 : 0;
        const std::uint32_t room = capacity[{call.scale_out.zone, call.scale_out.spot}];
        if (used >= room) {
          r.status = 503;
          r.no_capacity = true;
          break;
        }
        for (std::uint32_t i = 0; i < std::min(call.scale_out.count, room - used); ++i)
          launch(call, now, r);
        requests_[call.scale_out.request] = r.names;
        break;
      }
      case CloudRequest::Kind::Terminate:
        for (const auto& name : call.names)
          if (machines.erase(name) > 0) on_released(name);
        break;
      case CloudRequest::Kind::List:
        r = list_page(call);
        break;
    }
    return r;
  }

  /// Keeps what lists show: some seconds old, at times older than the one before.
  void tick(Time now, Time lag) {
    CloudResponse list;
    for (const auto& [name, m] : machines) {
      ListedMachine l;
      l.name = name;
      l.address = m.address;
      l.type = m.type;
      l.zone = m.zone;
      l.spot = m.spot;
      l.state = m.up ? ListedMachine::State::Running : ListedMachine::State::Booting;
      l.age_s = static_cast<double>(now - m.launched) / 1000.0;
      list.machines.push_back(std::move(l));
    }
    lists_.emplace_back(now, std::move(list));
    const Time wanted = lag + static_cast<Time>(random_(static_cast<std::uint32_t>(lag)));
    while (lists_.size() > 1 && lists_.front().first < now - wanted) lists_.pop_front();
  }

 private:
  /// Machines come in the order of their names, so many at a time.
  [[nodiscard]] CloudResponse list_page(const CloudRequest& call) const {
    CloudResponse page;
    page.status = 200;
    if (lists_.empty()) return page;
    for (const ListedMachine& listed : lists_.front().second.machines) {
      if (listed.name <= call.after) continue;
      page.more = page.machines.size() >= call.limit;
      if (page.more) break;
      page.machines.push_back(listed);
    }
    return page;
  }
  [[nodiscard]] std::string address_of(std::size_t number) const {
    if (address_prefix.empty()) return "10.1.0.1:" + std::to_string(1000 + number);
    constexpr std::size_t kHostsPerNet = 250;
    constexpr const char* kWorkerPort = ":9000";
    return address_prefix + std::to_string(number / kHostsPerNet) + "." +
           std::to_string(1 + number % kHostsPerNet) + kWorkerPort;
  }
  void launch(const CloudRequest& call, Time now, CloudResponse& r) {
    CloudMachine m;
    m.name = machine_name(next_++);
    m.address = address_of(next_);
    m.type = call.scale_out.type;
    m.zone = call.scale_out.zone;
    m.spot = call.scale_out.spot;
    m.launched = now;
    m.broken = one_in_never_up > 0 && random_(one_in_never_up) == 0;
    const double boot = 1000 * types.front().boot_s * (0.6 + random_(90) / 100.0);
    m.boots = random_(12) == 0 ? now + 1000 : now + static_cast<Time>(boot);
    machines[m.name] = m;
    r.names.emplace_back(m.name);
    on_launched(m);
  }
  pcg32 random_;
  std::size_t next_ = 1;
  std::map<std::string, std::vector<std::string>> requests_;
  std::list<std::pair<Time, CloudResponse>> lists_;
};

}  // namespace sailreel::sim
