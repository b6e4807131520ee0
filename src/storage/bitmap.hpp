// The bitmap of a job's finished tasks, and how the checkpoint stores it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sailreel {

/// Bits, one per task, that a hex digit of a stored bitmap holds.
inline constexpr std::size_t kBitsPerDigit = 4;
/// The bitmap of a job with at most this many tasks is part of the job's record. A larger bitmap is
/// split into pieces that are values of their own, so that a change of one bit rewrites only one
/// piece.
inline constexpr std::size_t kInlineBits = 512;
/// Bits of a piece.
inline constexpr std::size_t kPieceBits = 8192;
/// Bits of a small piece, which fits into the smallest limit on values that the settings allow.
inline constexpr std::size_t kSmallPieceBits = 2048;

/// One bit for each task of a job, set once the task is finished.
class Bitmap {
 public:
  explicit Bitmap(std::size_t size = 0)
      : size_(size), words_((size + kBitsPerWord - 1) / kBitsPerWord) {}
  /// Sets the bit of a task, whose index must be below the size. Returns false if the bit was set
  /// already.
  bool set(std::size_t index) {
    std::uint64_t& word = words_[index / kBitsPerWord];
    const std::uint64_t bit = std::uint64_t{1} << (index % kBitsPerWord);
    if ((word & bit) != 0) return false;
    word |= bit;
    ++count_;
    return true;
  }
  /// True if the task's bit is set; false for an index beyond the end.
  [[nodiscard]] bool test(std::size_t index) const {
    return index < size_ && (words_[index / kBitsPerWord] >> (index % kBitsPerWord) & 1) != 0;
  }
  [[nodiscard]] std::size_t size() const { return size_; }
  /// The number of bits that are set.
  [[nodiscard]] std::size_t count() const { return count_; }

  /// Returns at most `count` bits, beginning with that of task `first`, as hex digits. Each digit
  /// holds `kBitsPerDigit` bits, of which the lowest is that of the first task.
  [[nodiscard]] std::string hex(std::size_t first, std::size_t count) const;
  /// Sets the bits that are set in `digits`, which begin with the bit of task `first`. Ignores bits
  /// beyond the end, and characters that are not lower-case hex digits.
  void merge_hex(std::size_t first, std::string_view digits);

 private:
  static constexpr std::size_t kBitsPerWord = 64;

  std::size_t size_ = 0, count_ = 0;
  std::vector<std::uint64_t> words_;
};

/// Encodes a piece as a stored value; `digits` is what `Bitmap::hex` returns.
std::string encode_piece(const std::string& digits);

}  // namespace sailreel
