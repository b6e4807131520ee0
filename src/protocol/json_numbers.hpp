// Reads numbers of JSON texts by their value, in all spellings that JSON allows and without a limit
// on their length.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace sailreel::json {

/// The double that is nearest to the number; infinite if the number is out of range. `number` must
/// follow JSON's grammar, and a character that can't be part of a number must follow it in memory.
double nearest_double(std::string_view number);

/// A number that was taken out of a text, and its place there.
struct ExtractedNumber {
  std::size_t offset = 0;  // in bytes
  double value = 0;
};

/// Overwrites each number that has an exponent or hundreds of digits with a zero and spaces, and
/// returns the numbers in the order of the text. Whatever is invalid in the text stays invalid.
std::vector<ExtractedNumber> extract_large_numbers(std::string& text);

}  // namespace sailreel::json
