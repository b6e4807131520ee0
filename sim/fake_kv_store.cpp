#include "sim/fake_kv_store.hpp"

#include <algorithm>

namespace sailreel::sim {

void FakeKvStore::limit_rates(double requests_per_second, double writes_per_second) {
  request_limiter_ = RateLimiter(requests_per_second, requests_per_second);
  write_limiter_ = RateLimiter(writes_per_second, writes_per_second);
}

void FakeKvStore::handle(const KvRequest& request, bool rejected, Time now, Reply reply) {
  using Kind = KvRequest::Kind;
  expire_leases(now);
  if (request.kind == Kind::Watch) {
    watches_.push_back(
        {request.key, request.revision, now + request.wait_ms, rejected, std::move(reply)});
    return serve_watches(now);
  }
  KvResponse response;
  response.revision = revision_;
  if (outage || rejected) {
    response.status = 503;
    return reply(response);
  }
  if (!within_rates(request, now)) {
    response.status = 429;
    return reply(response);
  }
  response.status = 200;
  switch (request.kind) {
    case Kind::Get:
      get(request, response);
      break;
    case Kind::List:
      list(request, response);
      break;
    case Kind::Txn:
      response.status = compare_and_swap(request);
      response.revision = revision_;
      break;
    case Kind::Grant:
      response.lease = ++last_lease_;
      leases_[last_lease_] = {request.ttl_ms, now + request.ttl_ms};
      break;
    case Kind::Renew:
      if (const auto lease = leases_.find(request.lease); lease == leases_.end())
        response.status = 404;
      else
        lease->second.expires_at = now + lease->second.ttl;
      break;
    case Kind::Revoke:
      remove_lease(request.lease);
      break;
    case Kind::Watch:
      break;
  }
  reply(response);
  serve_watches(now);
}

bool FakeKvStore::corrupt(const std::string& key) {
  const auto found = keys_.find(key);
  if (found == keys_.end()) return false;
  found->second.value = "gibberish";
  return true;
}

std::string FakeKvStore::value_of(const std::string& key) const {
  const auto found = keys_.find(key);
  return found == keys_.end() ? std::string() : found->second.value;
}

void FakeKvStore::tick(Time now) {
  expire_leases(now);
  serve_watches(now);
}

void FakeKvStore::end_outage(Time now) {
  outage = false;
  for (auto& [id, lease] : leases_) lease.expires_at = now + lease.ttl;
}

bool FakeKvStore::within_rates(const KvRequest& request, Time now) {
  if (!request_limiter_.allows(1, now)) return false;
  request_limiter_.spend(1, now);
  const auto writes = static_cast<double>(request.puts.size() + request.deletes.size());
  if (writes == 0) return true;
  if (!write_limiter_.allows(writes, now)) {
    ++refused_writes;
    return false;
  }
  write_limiter_.spend(writes, now);
  return true;
}

void FakeKvStore::get(const KvRequest& request, KvResponse& response) const {
  const auto found = keys_.find(request.key);
  if (found == keys_.end())
    response.status = 404;
  else
    response.items.push_back({request.key, found->second.value, found->second.version, false});
}

void FakeKvStore::list(const KvRequest& request, KvResponse& response) const {
  auto entry =
      request.from.empty() ? keys_.lower_bound(request.key) : keys_.upper_bound(request.from);
  for (; entry != keys_.end() && entry->first.starts_with(request.key); ++entry) {
    response.has_more = response.items.size() >= request.limit;
    if (response.has_more) return;
    response.items.push_back({entry->first, entry->second.value, entry->second.version, false});
  }
}

bool FakeKvStore::exceeds_limits(const KvRequest& request) const {
  constexpr std::size_t kMaxTransactionBytes = std::size_t{64} * 1024, kOverheadBytesPerPut = 40;
  std::size_t bytes = 0;
  for (const auto& put : request.puts) {
    bytes += put.key.size() + put.value.size() + kOverheadBytesPerPut;
    if (put.value.size() > value_limit) return true;
  }
  return bytes > kMaxTransactionBytes || request.puts.size() + request.deletes.size() > ops_limit ||
         request.conditions.size() > 4 * ops_limit;
}

int FakeKvStore::compare_and_swap(const KvRequest& request) {
  if (exceeds_limits(request)) {
    ++over_limit_requests;
    return 400;
  }
  for (const auto& put : request.puts)
    if (put.lease != 0 && !leases_.contains(put.lease)) return 400;
  for (const auto& condition : request.conditions) {
    const auto found = keys_.find(condition.key);
    if ((found == keys_.end() ? 0 : found->second.version) != condition.version) return 409;
  }
  if (request.puts.empty() && request.deletes.empty()) return 200;
  ++revision_;
  for (const auto& put : request.puts) {
    keys_[put.key] = {put.value, revision_, put.lease};
    changes_.push_back({put.key, put.value, revision_, false});
  }
  for (const auto& key : request.deletes)
    if (keys_.erase(key) > 0) changes_.push_back({key, "", revision_, true});
  return 200;
}

void FakeKvStore::remove_lease(std::uint64_t id) {
  if (leases_.erase(id) == 0) return;
  bool revision_raised = false;
  for (auto entry = keys_.begin(); entry != keys_.end();) {
    if (entry->second.lease != id) {
      ++entry;
      continue;
    }
    if (!revision_raised) ++revision_;
    revision_raised = true;
    changes_.push_back({entry->first, "", revision_, true});
    entry = keys_.erase(entry);
  }
}

void FakeKvStore::expire_leases(Time now) {
  if (outage) return;
  std::vector<std::uint64_t> expired;
  for (const auto& [id, lease] : leases_)
    if (now > lease.expires_at) expired.push_back(id);
  for (const auto id : expired) remove_lease(id);
}

void FakeKvStore::serve_watches(Time now) {
  if (outage) return;
  for (auto watch = watches_.begin(); watch != watches_.end();) {
    KvResponse response;
    response.status = 200;
    response.revision = revision_;
    std::size_t bytes = 0;
    if (!watch->rejected)
      for (const KvItem& change : changes_)
        if (change.version > watch->after_revision && change.key.starts_with(watch->prefix)) {
          response.items.push_back(change);
          bytes += change.value.size();
        }
    largest_watch_response_bytes = std::max(largest_watch_response_bytes, bytes);
    if (watch->rejected || (response.items.empty() && now < watch->until)) {
      ++watch;
      continue;
    }
    const Reply reply = std::move(watch->reply);
    watch = watches_.erase(watch);
    reply(response);
  }
}

}  // namespace sailreel::sim
