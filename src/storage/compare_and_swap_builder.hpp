// A checkpoint transaction while it is put together, within the limits of the state service.
#pragma once

#include <string>
#include <utility>

#include "protocol/messages.hpp"

namespace sailreel {

/// Collects the writes of a transaction. What doesn't fit is left to a later one. One operation and
/// `reserved_bytes` are set aside from the beginning, for the head and the conditions.
class CompareAndSwapBuilder {
 public:
  CompareAndSwapBuilder(std::size_t max_operations, std::size_t reserved_bytes)
      : max_operations_(max_operations), bytes_(reserved_bytes) {}

  void limit_operations(std::size_t most) { max_operations_ = most; }
  [[nodiscard]] std::size_t operations() const { return operations_; }

  /// False if there is no room for it.
  bool put(std::string key, std::string value) {
    if (!has_room(value.size())) return false;
    ++operations_;
    bytes_ += value.size() + kBytesPerOperation;
    puts_.push_back({std::move(key), std::move(value), 0});
    return true;
  }

  bool erase(std::string key) {
    if (!has_room(0)) return false;
    ++operations_;
    bytes_ += kBytesPerOperation;
    deletes_.push_back(std::move(key));
    return true;
  }

  /// The transaction, with the head as its first write.
  KvRequest finish(std::vector<KvRequest::Condition> conditions, KvRequest::Put manifest) && {
    puts_.insert(puts_.begin(), std::move(manifest));
    return std::move(*this).finish(std::move(conditions));
  }

  /// The transaction without a head.
  KvRequest finish(std::vector<KvRequest::Condition> conditions) && {
    KvRequest call;
    call.kind = KvRequest::Kind::Txn;
    call.conditions = std::move(conditions);
    call.puts = std::move(puts_);
    call.deletes = std::move(deletes_);
    return call;
  }

 private:
  static constexpr std::size_t kMaxBytes = std::size_t{64} * 1024;
  /// What a key and its punctuation take, at most.
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
