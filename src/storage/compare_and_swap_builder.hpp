// Builds the compare-and-swap of a checkpoint commit within the limits of the key-value store.
#pragma once

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "protocol/messages.hpp"

namespace sailreel {

/// Collects writes for as long as they fit; what doesn't is left to a later commit. Owns the keys
/// and values that it was given.
class CompareAndSwapBuilder {
 public:
  /// One operation and `reserved_bytes` are set aside for the manifest and the conditions, which
  /// are known last.
  CompareAndSwapBuilder(std::size_t max_operations, std::size_t reserved_bytes)
      : max_operations_(max_operations), bytes_(reserved_bytes) {}

  /// Replaces the limit; operations that were taken before stay.
  void limit_operations(std::size_t most) { max_operations_ = most; }
  /// Including the one that is set aside.
  [[nodiscard]] std::size_t operations() const { return operations_; }

  /// False, with nothing changed, if the write doesn't fit.
  bool put(std::string key, std::string value) {
    if (!has_room(value.size())) return false;
    ++operations_;
    bytes_ += value.size() + kBytesPerOperation;
    puts_.push_back({std::move(key), std::move(value), 0});
    return true;
  }

  /// The same for a deletion.
  bool erase(std::string key) {
    if (!has_room(0)) return false;
    ++operations_;
    bytes_ += kBytesPerOperation;
    deletes_.push_back(std::move(key));
    return true;
  }

  /// The request, with the manifest as its first write. The builder is used up.
  KvRequest finish(std::vector<KvRequest::Condition> conditions, KvRequest::Put manifest) && {
    puts_.insert(puts_.begin(), std::move(manifest));
    return std::move(*this).finish(std::move(conditions));
  }

  /// The request without a manifest. The builder is used up.
  KvRequest finish(std::vector<KvRequest::Condition> conditions) && {
    KvRequest call;
    call.kind = KvRequest::Kind::Txn;
    call.conditions = std::move(conditions);
    call.puts = std::move(puts_);
    call.deletes = std::move(deletes_);
    return call;
  }

 private:
  /// Of a request's body.
  static constexpr std::size_t kMaxBytes = std::size_t{64} * 1024;
  /// What the key of an operation and its JSON punctuation take, at most.
  static constexpr std::size_t kBytesPerOperation = 64;
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
