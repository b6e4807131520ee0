// Which tasks of a job are finished, and how the checkpoint writes that down.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sailreel {

/// Tasks whose bits one hex digit of a stored bitmap holds.
inline constexpr std::size_t kBitsPerDigit = 4;
/// The bitmap of a job with at most this many tasks is part of the job's record; a larger one is
/// stored in pieces of their own, so that a change of one bit rewrites no more than a piece.
inline constexpr std::size_t kInlineBits = 512;
inline constexpr std::size_t kPieceBits = 8192;
/// A small piece: fits into the smallest limit on values that settings allow.
inline constexpr std::size_t kSmallPieceBits = 2048;

/// One bit for each task of a job, set once the task is finished.
class Bitmap {
 public:
  explicit Bitmap(std::size_t size = 0)
      : size_(size), words_((size + kBitsPerWord - 1) / kBitsPerWord) {}
  /// Sets the bit of a task, whose index must be below the size; false if it was set already.
  bool set(std::size_t index) {
    std::uint64_t& word = words_[index / kBitsPerWord];
    const std::uint64_t bit = std::uint64_t{1} << (index % kBitsPerWord);
    if ((word & bit) != 0) return false;
    word |= bit;
    ++count_;
    return true;
  }
  /// False also beyond the end.
  [[nodiscard]] bool test(std::size_t index) const {
    return index < size_ && (words_[index / kBitsPerWord] >> (index % kBitsPerWord) & 1) != 0;
  }
  [[nodiscard]] std::size_t size() const { return size_; }
  /// How many bits are set.
  [[nodiscard]] std::size_t count() const { return count_; }

  /// At most `count` bits from `first` on, as hex digits of `kBitsPerDigit` bits each, the lowest
  /// bit being that of the first task.
  [[nodiscard]] std::string hex(std::size_t first, std::size_t count) const;
  /// Sets the bits that the digits stand for, the first being that of task `first`. Bits beyond the
  /// end and characters that are no hex digits are ignored.
  void merge_hex(std::size_t first, std::string_view digits);

 private:
  static constexpr std::size_t kBitsPerWord = 64;

  std::size_t size_ = 0, count_ = 0;
  std::vector<std::uint64_t> words_;
};

/// The stored value of a piece, whose digits are those of `Bitmap::hex`.
std::string encode_piece(const std::string& digits);

}  // namespace sailreel
