#include "storage/bitmap.hpp"

#include <algorithm>

namespace sailreel {
namespace {

/// The value of a lower-case hex digit; 0 for any other character.
unsigned hex_digit_value(char digit) {
  if (digit >= '0' && digit <= '9') return static_cast<unsigned>(digit - '0');
  if (digit >= 'a' && digit <= 'f') return static_cast<unsigned>(digit - 'a' + 10);
  return 0;
}

}  // namespace

std::string Bitmap::hex(std::size_t first, std::size_t count) const {
  static constexpr char kHexDigits[] = "0123456789abcdef";
  std::string out;
  const std::size_t end = std::min(size_, first + count);
  out.reserve((end - std::min(end, first) + kBitsPerDigit - 1) / kBitsPerDigit);
  for (std::size_t index = first; index < end; index += kBitsPerDigit) {
    unsigned digit = 0;
    for (std::size_t bit = 0; bit < kBitsPerDigit; ++bit)
      if (test(index + bit)) digit |= 1U << bit;
    out += kHexDigits[digit];
  }
  return out;
}

void Bitmap::merge_hex(std::size_t first, std::string_view digits) {
  for (std::size_t position = 0; position < digits.size(); ++position) {
    const unsigned digit = hex_digit_value(digits[position]);
    for (std::size_t bit = 0; bit < kBitsPerDigit; ++bit) {
      const std::size_t index = first + position * kBitsPerDigit + bit;
      if ((digit >> bit & 1) != 0 && index < size_) set(index);
    }
  }
}

std::string encode_piece(const std::string& digits) { return "{\"h\":\"" + digits + "\"}"; }

}  // namespace sailreel
