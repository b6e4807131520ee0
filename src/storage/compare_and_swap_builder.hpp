// Builds the compare-and-swap of a checkpoint commit within the limits of the key-value store.
#pragma once

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "protocol/messages.hpp"

namespace sailreel {

/// Collects writes for as long as they fit. The caller leaves those that don't fit to a later
/// commit. The builder owns the keys and values that it was given.
class CompareAndSwapBuilder {
 public:
  /// One operation and `reserved_bytes` are set aside for the manifest and the conditions, because
  /// these are known last.
  CompareAndSwapBuilder(std::size_t max_operations, std::size_t reserved_bytes)
      : max_operations_(max_operations), bytes_(reserved_bytes) {}

  /// Replaces the limit on the number of operations. Operations that were added before are kept.
  void limit_operations(std::size_t max_operations) { max_operations_ = max_operations; }
  /// The number of operations, including the one that is set aside.
  [[nodiscard]] std::size_t operations() const { return operations_; }

  /// Adds a write. Returns false, and adds nothing, if the write doesn't fit.
  bool put(std::string key, std::string value) {
    if (!has_room(value.size())) return false;
    ++operations_;
    bytes_ += value.size() + kBytesPerOperation;
    puts_.push_back({std::move(key), std::move(value), 0});
    return true;
  }

  /// Adds a deletion. Returns false, and adds nothing, if the deletion doesn't fit.
  bool erase(std::string key) {
    if (!has_room(0)) return false;
    ++operations_;
    bytes_ += kBytesPerOperation;
    deletes_.push_back(std::move(key));
    return true;
  }

  /// Returns the request with the manifest as its first write. The builder can't be used
  /// afterwards.
  KvRequest finish(std::vector<KvRequest::Condition> conditions, KvRequest::Put manifest) && {
    puts_.insert(puts_.begin(), std::move(manifest));
    return std::move(*this).finish(std::move(conditions));
  }

  /// Returns the request without a manifest. The builder can't be used afterwards.
  KvRequest finish(std::vector<KvRequest::Condition> conditions) && {
    KvRequest request;
    request.kind = KvRequest::Kind::Txn;
    request.conditions = std::move(conditions);
    request.puts = std::move(puts_);
    request.deletes = std::move(deletes_);
    return request;
  }

 private:
  /// Limit on the size of a request's body.
  static constexpr std::size_t kMaxBytes = std::size_t{64} * 1024;
  /// The most that the key and the JSON punctuation of an operation take.
  static constexpr std::size_t kBytesPerOperation = 64;
  /// Left free for the parts of the body that aren't counted.
  static constexpr std::size_t kSpareBytes = 256;

  [[nodiscard]] bool has_room(std::size_t value_bytes) const {
    return operations_ < max_operations_ && bytes_ + value_bytes + kSpareBytes <= kMaxBytes;
  }

  std::size_t max_operations_;
  std::size_t operations_ = 1;
  std::size_t bytes_;
  std::vector<KvRequest::Put> puts_;
  std::vector<std::string> deletes_;
};

}  // namespace sailreel
