// The state service as the page "Controller nodes -> state service" describes it.
#pragma once

#include <algorithm>
#include <functional>
#include <list>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "controller/rate_limiter.hpp"
#include "protocol/fake_server_codec.hpp"
#include "protocol/messages.hpp"

namespace review {

using sailreel::KvItem;
using sailreel::KvRequest;
using sailreel::ServiceResponse;
using sailreel::Time;

/// Times are in ms.
class StateService {
 public:
  using Reply = std::function<void(ServiceResponse)>;

  StateService(double rps, double write_rps, std::size_t value_bytes, std::size_t operations)
      : requests_(rps, rps),
        writes_(write_rps, write_rps),
        value_bytes_(value_bytes),
        operations_(operations) {}

  /// Stores a value that was written before the run.
  void preset(const std::string& key, std::string value) {
    keys_[key] = {std::move(value), ++revision_, 0};
  }

  void handle(const KvRequest& request, Time now, const Reply& reply) {
    expire(now);
    if (!requests_.allows(1, now)) return reply(error(429, "too many requests"));
    requests_.spend(1, now);
    using Kind = KvRequest::Kind;
    switch (request.kind) {
      case Kind::Get:
      case Kind::List:
        return reply(read(request));
      case Kind::Txn:
        reply(execute(request, now));
        return serve_watches(now);
      case Kind::Grant:
        leases_[++last_lease_] = {request.ttl_ms, now + request.ttl_ms};
        return reply({200, "{\"mooring\":" + std::to_string(last_lease_) + "}"});
      case Kind::Renew: {
        const auto lease = leases_.find(request.lease);
        if (lease == leases_.end()) return reply(error(404, "no such lease"));
        lease->second.ends_at = now + lease->second.ttl;
        return reply({200, "{}"});
      }
      case Kind::Revoke:
        end_lease(request.lease);
        reply({200, "{}"});
        return serve_watches(now);
      case Kind::Watch:
        if (request.revision < forgotten_) return reply(error(410, "too old"));
        watches_.push_back({request, now + std::min<Time>(request.wait_ms, 60'000), reply});
        return serve_watches(now);
    }
  }

  void tick(Time now) {
    expire(now);
    serve_watches(now);
  }

 private:
  struct Value {
    std::string json;
    std::uint64_t version = 0, lease = 0;
  };
  struct Lease {
    Time ttl = 0, ends_at = 0;
  };
  struct Watch {
    KvRequest request;
    Time until = 0;
    Reply reply;
  };
  static constexpr std::size_t kItemsPerPage = 1000, kBytesPerPage = 512 * 1024;
  static constexpr std::size_t kBytesPerTransaction = 64 * 1024, kChangesKept = 10'000;
  /// What the name and the punctuation of an item take, about.
  static constexpr std::size_t kBytesPerItem = 64;

  static ServiceResponse error(int status, const std::string& text) {
    return {status, "{\"error\":\"" + text + "\"}"};
  }

  [[nodiscard]] ServiceResponse encode(const KvRequest& request,
                                       sailreel::KvResponse response) const {
    response.revision = revision_;
    return sailreel::encode_kv_response(request, response);
  }

  [[nodiscard]] ServiceResponse read(const KvRequest& request) const {
    sailreel::KvResponse response;
    response.status = 200;
    if (request.kind == KvRequest::Kind::Get) {
      const auto found = keys_.find(request.key);
      if (found == keys_.end()) return {404, "{\"tide\":" + std::to_string(revision_) + "}"};
      response.items.push_back({request.key, found->second.json, found->second.version, false});
      return encode(request, std::move(response));
    }
    const std::size_t most = std::min<std::size_t>(request.limit, kItemsPerPage);
    std::size_t bytes = 0;
    auto entry =
        request.from.empty() ? keys_.lower_bound(request.key) : keys_.upper_bound(request.from);
    for (; entry != keys_.end() && entry->first.starts_with(request.key); ++entry) {
      bytes += entry->first.size() + entry->second.json.size() + kBytesPerItem;
      response.has_more = response.items.size() >= most || bytes > kBytesPerPage;
      if (response.has_more) break;
      response.items.push_back({entry->first, entry->second.json, entry->second.version, false});
    }
    return encode(request, std::move(response));
  }

  ServiceResponse execute(const KvRequest& request, Time now) {
    const std::size_t changes = request.puts.size() + request.deletes.size();
    std::size_t bytes = 0;
    bool too_large = changes > operations_ || request.conditions.size() > 4 * operations_;
    for (const auto& put : request.puts) {
      bytes += put.key.size() + put.value.size() + kBytesPerItem;
      too_large = too_large || put.value.size() > value_bytes_;
    }
    if (too_large || bytes > kBytesPerTransaction) return error(400, "too large");
    if (!writes_.allows(static_cast<double>(changes), now)) return error(429, "too many writes");
    writes_.spend(static_cast<double>(changes), now);
    for (const auto& put : request.puts)
      if (put.lease != 0 && !leases_.contains(put.lease)) return error(400, "no such lease");
    std::string failed;
    for (const auto& condition : request.conditions) {
      const auto found = keys_.find(condition.key);
      if ((found == keys_.end() ? 0 : found->second.version) != condition.version)
        failed += (failed.empty() ? "\"" : ",\"") + condition.key + "\"";
    }
    const std::string tide = "\"tide\":";
    if (!failed.empty())
      return {409, "{\"failed\":[" + failed + "]," + tide + std::to_string(revision_) + "}"};
    if (changes > 0) ++revision_;
    for (const auto& put : request.puts) {
      keys_[put.key] = {put.value, revision_, put.lease};
      changed({put.key, put.value, revision_, false});
    }
    for (const auto& key : request.deletes)
      if (keys_.erase(key) > 0) changed({key, "", revision_, true});
    return {200, "{" + tide + std::to_string(revision_) + "}"};
  }

  void changed(KvItem item) {
    changes_.push_back(std::move(item));
    while (changes_.size() > kChangesKept) {
      forgotten_ = changes_.front().version;
      changes_.pop_front();
    }
  }

  void end_lease(std::uint64_t id) {
    if (leases_.erase(id) == 0) return;
    ++revision_;
    for (auto entry = keys_.begin(); entry != keys_.end();) {
      if (entry->second.lease != id) {
        ++entry;
        continue;
      }
      changed({entry->first, "", revision_, true});
      entry = keys_.erase(entry);
    }
  }

  void expire(Time now) {
    std::vector<std::uint64_t> over;
    for (const auto& [id, lease] : leases_)
      if (now >= lease.ends_at) over.push_back(id);
    for (const std::uint64_t id : over) end_lease(id);
  }

  void serve_watches(Time now) {
    for (auto watch = watches_.begin(); watch != watches_.end();) {
      sailreel::KvResponse response;
      response.status = 200;
      for (auto change = changes_.rbegin();
           change != changes_.rend() && change->version > watch->request.revision; ++change)
        if (change->key.starts_with(watch->request.key)) response.items.push_back(*change);
      if (response.items.empty() && now < watch->until) {
        ++watch;
        continue;
      }
      std::reverse(response.items.begin(), response.items.end());
      const Reply reply = std::move(watch->reply);
      const KvRequest request = std::move(watch->request);
      watch = watches_.erase(watch);
      reply(encode(request, std::move(response)));
    }
  }

  sailreel::RateLimiter requests_, writes_;
  std::size_t value_bytes_, operations_;
  std::map<std::string, Value> keys_;
  std::map<std::uint64_t, Lease> leases_;
  std::uint64_t revision_ = 0, last_lease_ = 0, forgotten_ = 0;
  std::list<KvItem> changes_;
  std::list<Watch> watches_;
};

}  // namespace review
